//! Estimated time to the first token of a request on an endpoint.

use types::Priority;

use crate::{EndpointNeed, SchedulerSettings, endpoint::Endpoint};

/// Tokens in one cached block.
const TOKENS_PER_BLOCK: u64 = (engine_api::BLOCK_BYTES / 4) as u64;

/// Mean time for which a request holds a place in a full batch, in steps.
const STEPS_PER_PLACE: f64 = 100.0;

/// Cost of each request in the batch beside its wait, in steps.
const STEPS_PER_REQUEST: f64 = 0.1;

/// The same for a bulk request, which stays long: an even spread counts for more than
/// the prompts that are processed just now.
const STEPS_PER_REQUEST_BULK: f64 = 4.0;

/// Estimated cost of a request on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Estimate {
    /// Time to the first token, in seconds.
    pub(crate) first_token_s: f64,
    /// Prompt tokens that are not cached.
    pub(crate) prompt_tokens: u64,
    /// What the choice compares: the time, and the load that the request meets.
    pub(crate) cost_s: f64,
}

/// Estimates the request `need` on `endpoint`, which caches `cached_blocks` of it.
pub(crate) fn estimate(
    endpoint: &Endpoint,
    need: &EndpointNeed,
    cached_blocks: usize,
    settings: &SchedulerSettings,
) -> Estimate {
    let cached = cached_blocks as u64 * TOKENS_PER_BLOCK;
    let prompt_tokens = need.prompt_tokens.saturating_sub(cached).max(1);
    let ahead = endpoint.load.prompt_tokens().saturating_add(prompt_tokens);
    let prompt_steps = ahead.div_ceil(settings.prompt_tokens_per_step.max(1)) as f64;
    let requests = f64::from(endpoint.load.requests());
    let batch = f64::from(endpoint.load.max_batch.max(1));
    let excess = if endpoint.load.max_batch == 0 { 0.0 } else { (requests + 1.0 - batch).max(0.0) };
    let queue_steps = excess * STEPS_PER_PLACE / batch;
    let step_s = endpoint.load.step_s() * endpoint.slowness;
    let first_token_s = (prompt_steps + queue_steps) * step_s;
    let exact_steps = ahead as f64 / settings.prompt_tokens_per_step.max(1) as f64;
    let steps_per_request = match need.priority {
        Priority::Bulk => STEPS_PER_REQUEST_BULK,
        Priority::Normal | Priority::Urgent => STEPS_PER_REQUEST,
    };
    let cost_steps = 1.0 + exact_steps + queue_steps + requests * steps_per_request;
    Estimate { first_token_s, prompt_tokens, cost_s: cost_steps * step_s }
}
