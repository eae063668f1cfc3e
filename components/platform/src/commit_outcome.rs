//! Outcome of a commit.

use serde::{Deserialize, Serialize};

use crate::{Key, PlatformError, Revision};

/// Outcome of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// It took effect; all written rows have this revision.
    Committed(Revision),
    /// It did not take effect: the precondition on this key did not hold.
    Conflict(Key),
    /// It did not take effect, and will not: the table refused it or was not reached.
    NotApplied(PlatformError),
    /// The answer was lost: it may have taken effect, or may still do so.
    Unknown,
}
