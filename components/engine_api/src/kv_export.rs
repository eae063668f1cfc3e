//! KV caches that engines export and import.

use serde::{Deserialize, Serialize};

/// KV cache of a prompt, exported by one engine and imported by another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hashes of the blocks of the prompt.
    pub blocks: Vec<u64>,
}
