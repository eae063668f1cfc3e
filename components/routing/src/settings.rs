//! Settings of the scheduler.

use std::time::Duration;

/// Settings of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// Assumed age of the load in a load report.
    pub report_lag: Duration,
    /// Pool size up to which a selection considers all endpoints.
    pub scanned_endpoints: usize,
    /// Endpoints of a larger pool that one selection considers at random, in addition to
    /// those that cache a prefix of the prompt.
    pub sampled_endpoints: usize,
    /// Maximum number of endpoints of a pool that one router uses.
    pub pool_endpoints_max: usize,
    /// Maximum number of prompt blocks in the prefix index.
    pub prefix_blocks: usize,
    /// Prompt tokens that an engine processes in one step.
    pub prompt_tokens_per_step: u64,
    /// Maximum number of waiting requests of one client account and priority.
    pub account_queue_max: usize,
    /// Maximum number of waiting requests of this router.
    pub queue_max: usize,
    /// Share of an endpoint's limit up to which it gets bulk requests, in percent.
    pub bulk_limit_percent: u32,
    /// The same on an endpoint that is set aside for interactive requests, in percent.
    pub interactive_bulk_limit_percent: u32,
    /// Unprocessed prompt tokens on an endpoint above which it gets no more bulk requests.
    pub bulk_prompt_tokens_max: u64,
    /// Consecutive failures after which an endpoint is ejected.
    pub ejection_failures: u32,
    /// Duration of the first ejection; doubles with each consecutive ejection.
    pub ejection_time: Duration,
    /// Largest share of a pool that may be ejected at the same time, in percent.
    pub ejected_percent_max: usize,
    /// Time in which an endpoint regains its full limit after an ejection.
    pub slow_start: Duration,
    /// Time for which an endpoint gets no requests after it refused one, before jitter.
    pub refusal_pause: Duration,
}

impl Default for SchedulerSettings {
    fn default() -> SchedulerSettings {
        SchedulerSettings {
            report_lag: Duration::from_millis(500),
            scanned_endpoints: 32,
            sampled_endpoints: 8,
            pool_endpoints_max: 64,
            prefix_blocks: 32_768,
            prompt_tokens_per_step: 512,
            account_queue_max: 512,
            queue_max: 4_096,
            bulk_limit_percent: 85,
            interactive_bulk_limit_percent: 60,
            bulk_prompt_tokens_max: 12_288,
            ejection_failures: 3,
            ejection_time: Duration::from_secs(1),
            ejected_percent_max: 50,
            slow_start: Duration::from_secs(5),
            refusal_pause: Duration::from_secs(1),
        }
    }
}
