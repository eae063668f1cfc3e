//! Load of an endpoint as the routers know it.

use std::sync::Arc;

/// Requests of one router, or of all, on an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that wait to be processed.
    pub prompt_tokens: u64,
    /// Tokens of memory that the requests may come to use.
    pub memory_tokens: u64,
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.prompt_tokens += other.prompt_tokens;
        self.memory_tokens += other.memory_tokens;
    }
}

/// Load that a router's requests put on an endpoint, as routers tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadShare {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Load.
    pub load: Load,
}
