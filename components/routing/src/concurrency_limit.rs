//! Adaptive concurrency limit of an endpoint.

use std::time::Duration;

use types::Timestamp;

/// Initial limit in requests, until the endpoint reports its batch size.
const INITIAL_LIMIT: f64 = 16.0;

/// Highest limit, in requests, of an endpoint that does not report its batch size.
const DEFAULT_LIMIT_MAX: f64 = 256.0;

/// Requests allowed on an endpoint per slot of its batch. The few that wait on the endpoint
/// fill a slot as soon as it becomes free.
const REQUESTS_PER_BATCH_SLOT: f64 = 1.25;

/// Lowest value to which the limit shrinks, in requests.
const LIMIT_MIN: f64 = 2.0;

/// Factor by which the limit shrinks in one decrease.
const DECREASE_FACTOR: f64 = 0.85;

/// Shortest time between two decreases.
const DECREASE_INTERVAL_MIN: Duration = Duration::from_millis(500);

/// Ratio of the observed to the expected latency above which a request counts as slow.
const SLOW_RATIO: f64 = 5.0;

/// Latency below which no request counts as slow.
const SLOW_LATENCY_MIN: Duration = Duration::from_secs(1);

/// Additive-increase, multiplicative-decrease limit, driven by first-token latencies.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Current limit in requests.
    limit: f64,
    /// Highest limit in requests, derived from the reported batch size.
    max: f64,
    /// When the limit last shrank.
    decreased_at: Option<Timestamp>,
    /// When the endpoint last returned after an ejection.
    returned_at: Option<Timestamp>,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            max: DEFAULT_LIMIT_MAX,
            decreased_at: None,
            returned_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Sets the largest batch that the endpoint reports; zero has no effect. A changed
    /// batch size resets the limit to its new maximum.
    pub(crate) fn set_max_batch(&mut self, max_batch: u32) {
        if max_batch == 0 {
            return;
        }
        let max = f64::from(max_batch) * REQUESTS_PER_BATCH_SLOT;
        if self.max != max {
            self.limit = max;
            self.max = max;
        }
    }

    /// Adjusts the limit to a first token that arrived after `latency` instead of the
    /// `expected` time.
    pub(crate) fn on_first_token(&mut self, latency: Duration, expected: Duration, now: Timestamp) {
        let is_slow = latency > SLOW_LATENCY_MIN && latency > expected.mul_f64(SLOW_RATIO);
        if is_slow {
            self.decrease(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Shrinks the limit after a slow first token or a refusal, at most once per
    /// [`DECREASE_INTERVAL_MIN`].
    pub(crate) fn decrease(&mut self, now: Timestamp) {
        if self.decreased_at.is_some_and(|at| now.since(at) < DECREASE_INTERVAL_MIN) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(LIMIT_MIN);
    }

    /// Begins the slow start after an ejection.
    pub(crate) fn begin_slow_start(&mut self, now: Timestamp) {
        self.returned_at = Some(now);
    }

    /// Returns the current limit in requests; it rises linearly over `slow_start` after an
    /// ejection.
    pub(crate) fn get(&self, slow_start: Duration, now: Timestamp) -> u32 {
        let share = self.returned_at.map_or(1.0, |at| {
            (now.since(at).as_secs_f64() / slow_start.as_secs_f64().max(1e-9)).min(1.0)
        });
        let limit = (self.limit * share).max(1.0);
        // The limit is small and positive.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let limit = limit as u32;
        limit
    }
}

#[cfg(test)]
#[path = "concurrency_limit_tests.rs"]
mod tests;
