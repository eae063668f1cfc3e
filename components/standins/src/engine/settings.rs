//! Settings of an engine.

use std::time::Duration;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Maximum number of requests in the batch.
    pub max_batch: u32,
    /// Base duration of a step, without the parts for requests and prompt tokens.
    pub step_base: Duration,
    /// Time added to a step by each request that generates a token.
    pub step_per_request: Duration,
    /// Time added to a step by each prompt token that is processed.
    pub step_per_prompt_token: Duration,
    /// Maximum number of prompt tokens processed in one step.
    pub prompt_tokens_per_step: u64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Age of the load and the cache events that the engine reports.
    pub report_lag: Duration,
    /// Time to load the weights of a model.
    pub load_time: Duration,
    /// Whether orders with a fencing number lower than the highest received are refused.
    pub checks_fencing: bool,
    /// Time from the start of a stream during which it can be resumed even if it has finished.
    pub resume_window: Duration,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            max_batch: 16,
            step_base: Duration::from_millis(4),
            step_per_request: Duration::from_micros(250),
            step_per_prompt_token: Duration::from_micros(20),
            prompt_tokens_per_step: 512,
            cache_blocks: 4_096,
            report_lag: Duration::from_millis(500),
            load_time: Duration::from_secs(2),
            checks_fencing: true,
            resume_window: Duration::from_secs(30),
        }
    }
}
