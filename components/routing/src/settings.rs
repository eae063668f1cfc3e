//! Settings of the scheduler.

use std::time::Duration;

/// Settings of the scheduler.
#[derive(Debug, Clone, PartialEq)]
pub struct SchedulerSettings {
    /// Age of the load that reports give.
    pub report_lag: Duration,
    /// Size up to which a choice looks at all endpoints of a pool.
    pub scanned_endpoints: usize,
    /// Endpoints of a larger pool that one choice looks at, beside those with a cached
    /// prefix.
    pub sampled_endpoints: usize,
    /// Endpoints of a pool that one router uses at most.
    pub pool_endpoints_max: usize,
    /// Blocks of prompts whose endpoints are remembered.
    pub prefix_blocks: usize,
    /// Prompt tokens that an engine processes in one step.
    pub prompt_tokens_per_step: u64,
    /// Requests of one client account and priority that wait at most.
    pub account_queue_max: usize,
    /// Requests that wait at most.
    pub queue_max: usize,
    /// Share of an endpoint's limit that bulk requests fill, in percent.
    pub places_bulk_percent: u32,
    /// The same, on a quick endpoint.
    pub quick_places_bulk_percent: u32,
    /// Prompt tokens waiting on an endpoint above which it gets no further bulk request.
    pub bulk_prompt_tokens_max: u64,
    /// Consecutive failures after which an endpoint is ejected.
    pub ejection_failures: u32,
    /// Time of the first ejection; doubles with each ejection in a row.
    pub ejection_time: Duration,
    /// Largest share of a pool that is ejected at a time, in percent.
    pub ejected_percent_max: usize,
    /// Time over which an endpoint that returns gets back its full limit.
    pub slow_start: Duration,
    /// Time for which an endpoint that refused gets no work.
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
            places_bulk_percent: 85,
            quick_places_bulk_percent: 60,
            bulk_prompt_tokens_max: 12_288,
            ejection_failures: 3,
            ejection_time: Duration::from_secs(1),
            ejected_percent_max: 50,
            slow_start: Duration::from_secs(5),
            refusal_pause: Duration::from_secs(1),
        }
    }
}
