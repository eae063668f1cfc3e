//! Whole answers, kept for retries.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::{AnswerEnd, AnswerHead};

/// A whole answer, kept for callers that send the request again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// Head.
    pub head: AnswerHead,
    /// Body: for chat the text.
    pub body: Bytes,
    /// End.
    pub end: AnswerEnd,
}
