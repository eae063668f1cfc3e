//! Cache events of engines: late and with gaps.

use serde::{Deserialize, Serialize};

/// One cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The block with this hash is cached.
    Stored(u64),
    /// The block with this hash is cached no longer.
    Evicted(u64),
}

/// Answer to a call for cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the first event; a gap after the last call means that some were lost.
    pub first: u64,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}
