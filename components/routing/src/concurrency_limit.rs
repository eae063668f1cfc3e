//! Adaptive limit on the requests in progress on an endpoint.

use std::time::Duration;

use types::Timestamp;

/// Limit of an endpoint that has reported no batch.
const INITIAL_LIMIT: f64 = 16.0;

/// Highest limit of an endpoint that reports no batch.
const UNREPORTED_MAX: f64 = 256.0;

/// Requests on an endpoint for each place of its batch. The few that wait on it fill
/// a place as soon as it is free.
const REQUESTS_PER_PLACE: f64 = 1.25;

/// Lowest limit.
const LIMIT_MIN: f64 = 2.0;

/// Factor of a decrease.
const DECREASE: f64 = 0.85;

/// Least time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(500);

/// Latency over the expected one from which the limit shrinks.
const SLOW_RATIO: f64 = 5.0;

/// Latency below which no request counts as slow.
const SLOW_MIN: Duration = Duration::from_secs(1);

/// Additive-increase, multiplicative-decrease limit, learnt from first tokens.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    /// Present limit; at least [`LIMIT_MIN`].
    limit: f64,
    /// Highest limit, which follows from the reported batch.
    max: f64,
    /// When the limit last shrank.
    decreased_at: Option<Timestamp>,
    /// When the endpoint came back after an ejection.
    returned_at: Option<Timestamp>,
}

impl Default for ConcurrencyLimit {
    fn default() -> ConcurrencyLimit {
        ConcurrencyLimit {
            limit: INITIAL_LIMIT,
            max: UNREPORTED_MAX,
            decreased_at: None,
            returned_at: None,
        }
    }
}

impl ConcurrencyLimit {
    /// Takes the largest batch that the endpoint reports.
    pub(crate) fn set_batch(&mut self, max_batch: u32) {
        if max_batch == 0 {
            return;
        }
        let max = f64::from(max_batch) * REQUESTS_PER_PLACE;
        if self.max != max {
            self.limit = max;
            self.max = max;
        }
    }

    /// Learns from a first token after `latency` where `expected` was estimated.
    pub(crate) fn on_first_token(&mut self, latency: Duration, expected: Duration, now: Timestamp) {
        let is_slow = latency > SLOW_MIN && latency > expected.mul_f64(SLOW_RATIO);
        if is_slow {
            self.decrease(now);
        } else {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Learns from a refusal or a timeout.
    pub(crate) fn decrease(&mut self, now: Timestamp) {
        if self.decreased_at.is_some_and(|at| now.since(at) < DECREASE_PAUSE) {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE).max(LIMIT_MIN);
    }

    /// Starts again slowly after an ejection.
    pub(crate) fn start_slowly(&mut self, now: Timestamp) {
        self.returned_at = Some(now);
    }

    /// Returns the present limit.
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
mod tests {
    use super::*;

    const SLOW_START: Duration = Duration::from_secs(10);

    #[test]
    fn slow_first_tokens_shrink_the_limit_and_fast_ones_grow_it() {
        let mut limit = ConcurrencyLimit::default();
        limit.set_batch(16);
        let expected = Duration::from_millis(50);
        for step in 0..20 {
            let now = Timestamp::from_millis(1_000 * step);
            limit.on_first_token(Duration::from_secs(2), expected, now);
        }
        let now = Timestamp::from_millis(20_000);
        assert_eq!(limit.get(SLOW_START, now), 2);
        (0..200).for_each(|_| limit.on_first_token(expected, expected, now));
        assert_eq!(limit.get(SLOW_START, now), 20);
    }

    #[test]
    fn returned_endpoint_starts_slowly() {
        let mut limit = ConcurrencyLimit::default();
        limit.start_slowly(Timestamp::ZERO);
        let limits = [0, 5_000, 10_000].map(|at| limit.get(SLOW_START, Timestamp::from_millis(at)));
        assert_eq!(limits, [1, 8, 16]);
    }
}
