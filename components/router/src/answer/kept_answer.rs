//! Complete answers, kept for retries.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{AnswerEnd, AnswerHead};

/// Complete answer, kept for callers that repeat the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// Status and content type.
    pub head: AnswerHead,
    /// Complete body; for chat, the generated text.
    pub body: Bytes,
    /// Finish reason and usage.
    pub end: AnswerEnd,
}
