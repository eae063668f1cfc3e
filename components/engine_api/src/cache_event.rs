//! Cache events of engines. They may arrive late, and some may be lost.

use serde::{Deserialize, Serialize};

/// Change to the prefix cache of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEvent {
    /// The block with this hash was added to the cache.
    Stored(u64),
    /// The block with this hash was removed from the cache.
    Evicted(u64),
}

/// Answer to a call for cache events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the first event in `events`. A gap after the events of the previous call means
    /// that some were lost.
    pub first: u64,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}
