//! Settings of an engine.

use std::time::Duration;

/// Settings of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Largest batch.
    pub max_batch: u32,
    /// Time of a step beside that of its requests.
    pub step_base: Duration,
    /// Time that each request adds to a step.
    pub step_per_request: Duration,
    /// Time that each prompt token adds to a step.
    pub step_per_prompt_token: Duration,
    /// Prompt tokens that one step processes at most.
    pub prompt_tokens_per_step: u64,
    /// Blocks that the prefix cache holds.
    pub cache_blocks: usize,
    /// Age of the load that reports give.
    pub report_lag: Duration,
    /// Time of a load of weights.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Time for which an interrupted stream can be resumed.
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
