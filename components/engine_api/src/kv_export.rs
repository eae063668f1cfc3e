//! KV caches as engines export and import them.

use serde::{Deserialize, Serialize};

/// KV cache of a prompt, exported by one engine and imported by another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
}
