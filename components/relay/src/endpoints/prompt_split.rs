//! Places long and short prompts on different endpoints.
//!
//! An engine processes prompts between the decoding steps of the requests that run on it, so a
//! long prompt makes all of them pause. Some endpoints of a service take the long prompts; the
//! others serve short ones without pauses.

use std::time::Duration;

use types::Timestamp;

use super::choice::HashedEndpoint;
use crate::rate::Rate;

/// Length from which a prompt counts as long, in tokens. All routers use the same one, so that a part
/// does not move between endpoints because routers have learned different speeds.
const LONG_PROMPT_TOKENS: u64 = 1_400;

/// Target share of their time, from 0 to 1, that endpoints for long prompts spend on processing
/// prompts. Above it, prompts wait for each other.
const PROMPT_TIME_SHARE: f64 = 0.3;

/// Share of the endpoints that take long prompts, in thirds, if there are prompts of both kinds.
/// There are only two sizes, since an endpoint that changes from one kind of prompt to the other
/// loses its cache.
const SMALL_SHARE_THIRDS: usize = 1;
const LARGE_SHARE_THIRDS: usize = 2;

/// Required share of the endpoints below which [`SMALL_SHARE_THIRDS`] is chosen, and above which
/// [`LARGE_SHARE_THIRDS`] is. In between, the current one stays.
const SMALL_SHARE_BELOW: f64 = 0.28;
const LARGE_SHARE_ABOVE: f64 = 0.42;

/// Time over which the rates are averaged.
const RATE_AVERAGING_TIME: Duration = Duration::from_secs(8);

/// Minimum rate of each kind of prompt for the endpoints to be split, in requests per second.
const REQUESTS_PER_S_MIN: f64 = 0.05;

/// Salt of the hash by which all routers choose the same endpoints for long prompts.
const LONG_PROMPTS_SALT: u64 = 0x6c6f_6e67;

/// Reports whether a prompt of this many tokens counts as long.
pub(super) fn is_long(tokens: u64) -> bool {
    tokens >= LONG_PROMPT_TOKENS
}

/// Rates of the long and short prompts that this router receives for one service.
#[derive(Debug, Clone, Copy)]
pub(super) struct PromptSplit {
    /// Rate of long prompts, in requests per second.
    long: Rate,
    /// Rate of long prompts, in tokens per second.
    long_tokens: Rate,
    /// Rate of short prompts, in requests per second.
    short: Rate,
    /// Thirds of the endpoints that take long prompts.
    share: usize,
}

impl Default for PromptSplit {
    fn default() -> PromptSplit {
        let rate = Rate::new(RATE_AVERAGING_TIME);
        PromptSplit { long: rate, long_tokens: rate, short: rate, share: LARGE_SHARE_THIRDS }
    }
}

impl PromptSplit {
    /// Records a prompt; `tokens` is the number of its tokens that are in no cache.
    pub(super) fn record(&mut self, tokens: u64, now: Timestamp) {
        if is_long(tokens) {
            self.long.add(1.0, now);
            self.long_tokens.add(tokens as f64, now);
        } else {
            self.short.add(1.0, now);
        }
    }

    /// Updates the share of endpoints for long prompts from the current rates. `endpoints` is the
    /// number of endpoints. `routers` is the number of routers; each is assumed to receive prompts
    /// at the same rates as this one.
    pub(super) fn update_share(
        &mut self,
        endpoints: usize,
        routers: usize,
        ms_per_token: f64,
        now: Timestamp,
    ) {
        let tokens_per_ms = self.long_tokens.get(now) * routers.max(1) as f64 / 1_000.0;
        let busy_endpoints = tokens_per_ms * ms_per_token;
        let required_share = busy_endpoints / PROMPT_TIME_SHARE / endpoints.max(1) as f64;
        if required_share < SMALL_SHARE_BELOW {
            self.share = SMALL_SHARE_THIRDS;
        } else if required_share > LARGE_SHARE_ABOVE {
            self.share = LARGE_SHARE_THIRDS;
        }
    }

    /// Returns the endpoints that take the long prompts; empty if all endpoints take both kinds.
    pub(super) fn long_endpoints<'a>(
        &self,
        endpoints: &[HashedEndpoint<'a>],
        now: Timestamp,
    ) -> Vec<HashedEndpoint<'a>> {
        if endpoints.len() < 2
            || self.long.get(now) < REQUESTS_PER_S_MIN
            || self.short.get(now) < REQUESTS_PER_S_MIN
        {
            return Vec::new();
        }
        let count = (endpoints.len() * self.share).div_ceil(3);
        let mut ranked: Vec<(f64, HashedEndpoint<'_>)> =
            endpoints.iter().map(|it| (it.rank(LONG_PROMPTS_SALT), *it)).collect();
        ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then_with(|| b.1.id.cmp(a.1.id)));
        ranked.into_iter().take(count).map(|(_, it)| it).collect()
    }
}
