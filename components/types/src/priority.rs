//! How urgent a request is, as operators have configured it.

use serde::{Deserialize, Serialize};

/// How urgent a request is. Operators decide it, callers do not.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// May wait for capacity that nobody else wants: long sheets and assessments.
    Bulk,
    /// The usual case.
    #[default]
    Normal,
    /// Cannot wait: a person stands before the answer.
    Urgent,
}

impl Priority {
    /// All priorities, least urgent first.
    pub const ALL: [Priority; 3] = [Priority::Bulk, Priority::Normal, Priority::Urgent];
}
