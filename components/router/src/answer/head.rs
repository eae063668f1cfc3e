//! The head of an answer.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Status and content type of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Content type of an action's answer; for chat, the type of the generated text.
    pub content_type: Arc<str>,
}
