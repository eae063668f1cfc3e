//! Heads of answers.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status code.
    pub status: u16,
    /// Content type of an action's answer; for chat, that of its text.
    pub content_type: Arc<str>,
}
