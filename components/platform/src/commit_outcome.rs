//! Outcome of a commit.

use serde::{Deserialize, Serialize};

use crate::{Key, PlatformError, Revision};

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// The commit took effect; all written rows have this revision.
    Committed(Revision),
    /// The commit did not take effect: the precondition on this key did not hold.
    Conflict(Key),
    /// The commit did not and will not take effect: the table refused it or was not reached.
    NotApplied(PlatformError),
    /// The answer was lost; the commit may have taken effect or may still do so.
    Unknown,
}
