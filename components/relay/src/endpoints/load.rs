//! Load of an endpoint as counted by the routers.

use std::sync::Arc;

/// Load on an endpoint: of one request, of one router's requests or of all routers' requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that are still to be processed.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that the requests may occupy in the engine's memory.
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

/// Load of one router's requests on an endpoint, as the routers report it to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadShare {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Sum over the requests of the reporting router.
    pub load: Load,
}
