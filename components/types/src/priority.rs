//! Priority of a request.

use serde::{Deserialize, Serialize};

/// Priority of a request. Set by operators in the configuration, not by callers.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that may wait for spare capacity, such as long prompts and assessments.
    Bulk,
    /// The default.
    #[default]
    Normal,
    /// Work that cannot wait because a person waits for the answer.
    Urgent,
}

impl Priority {
    /// All priorities, least urgent first.
    pub const ALL: [Priority; 3] = [Priority::Bulk, Priority::Normal, Priority::Urgent];
}
