//! Commits: preconditions and writes that take effect atomically.

use serde::{Deserialize, Serialize};

use crate::{Precondition, Write};

/// Maximum number of writes in one commit.
pub const COMMIT_MAX_WRITES: usize = 512;

/// A commit. Its writes take effect atomically, and only if all preconditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// Preconditions that must all hold.
    pub preconditions: Vec<Precondition>,
    /// Writes, at most [`COMMIT_MAX_WRITES`] and at most one for each key.
    pub writes: Vec<Write>,
}
