//! Preconditions of commits.

use serde::{Deserialize, Serialize};

use crate::{Key, Revision};

/// Condition on one row that must hold for a commit to take effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Precondition {
    /// There is no row with this key.
    Absent(Key),
    /// The row has this revision.
    Revision(Key, Revision),
}

impl Precondition {
    /// Returns the key of the row.
    pub fn key(&self) -> &Key {
        match self {
            Precondition::Absent(key) | Precondition::Revision(key, _) => key,
        }
    }
}
