//! Estimates of the time to the first token of a request on an endpoint.

use types::Priority;

use crate::{EndpointNeed, SchedulerSettings, endpoint::Endpoint};

/// Tokens in one cached block, at 4 bytes per token.
const TOKENS_PER_BLOCK: u64 = (engine_api::BLOCK_BYTES / 4) as u64;

/// Mean time for which a request occupies a slot of a full batch, in steps.
const BATCH_SLOT_STEPS: f64 = 100.0;

/// Cost of each request in progress on the endpoint, in addition to the queueing time, in
/// steps.
const REQUEST_COST_STEPS: f64 = 0.1;

/// The same for a bulk request, in steps. It is higher because bulk requests run for a long
/// time, so that an even spread matters more than the prompts being processed at present.
const BULK_REQUEST_COST_STEPS: f64 = 4.0;

/// Estimated cost of a request on an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Estimate {
    /// Time to the first token, in seconds.
    pub(crate) first_token_s: f64,
    /// Prompt tokens that are not cached and must be processed.
    pub(crate) prompt_tokens: u64,
    /// Cost that the selection compares, in seconds: the time to the first token and the
    /// load on the endpoint.
    pub(crate) cost_s: f64,
}

/// Estimates the cost of the request `need` on `endpoint`, which caches the first
/// `cached_blocks` blocks of its prompt.
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
    let queue_steps = excess * BATCH_SLOT_STEPS / batch;
    let step_s = endpoint.load.step_s() * endpoint.slowness;
    let first_token_s = (prompt_steps + queue_steps) * step_s;
    let exact_steps = ahead as f64 / settings.prompt_tokens_per_step.max(1) as f64;
    let request_cost_steps = match need.priority {
        Priority::Bulk => BULK_REQUEST_COST_STEPS,
        Priority::Normal | Priority::Urgent => REQUEST_COST_STEPS,
    };
    let cost_steps = 1.0 + exact_steps + queue_steps + requests * request_cost_steps;
    Estimate { first_token_s, prompt_tokens, cost_s: cost_steps * step_s }
}
