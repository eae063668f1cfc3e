//! A commit: preconditions and writes that take effect together or not at all.

use serde::{Deserialize, Serialize};

use crate::{Precondition, Write};

/// Most writes in one commit.
pub const COMMIT_MAX_WRITES: usize = 512;

/// A commit: its writes take effect together, and only if all preconditions hold.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Commit {
    /// What must hold.
    pub preconditions: Vec<Precondition>,
    /// What is written, at most [`COMMIT_MAX_WRITES`], each key once.
    pub writes: Vec<Write>,
}
