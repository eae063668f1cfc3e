//! The end of an answer.

use std::sync::Arc;

use engine_api::Usage;
use serde::{Deserialize, Serialize};

/// End of a complete answer. Passed on to callers only once the bill is durable.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// Finish reason of a chat answer, as reported by the engine.
    pub finish_reason: Option<Arc<str>>,
    /// Billed tokens of a chat answer.
    pub usage: Usage,
}
