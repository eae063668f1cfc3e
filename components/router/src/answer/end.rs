//! Ends of answers.

use std::sync::Arc;

use engine_api::Usage;
use serde::{Deserialize, Serialize};

/// End of an answer. Released only once the bill is durable.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// Why a chat answer ended, as the engine said.
    pub finish_reason: Option<Arc<str>>,
    /// Tokens that were billed, for a chat answer.
    pub usage: Usage,
}
