//! Spend rate of an account.

use std::time::Duration;

use types::{Timestamp, Tokens};

/// Time constant of the average.
const AVERAGE_TIME_CONSTANT: Duration = Duration::from_secs(30);

/// Exponentially weighted moving average of the tokens that an account spends on this router.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SpendRate {
    /// Tokens spent, weighted by age as of `updated`.
    weighted: f64,
    /// When `weighted` was last updated.
    updated: Timestamp,
}

impl SpendRate {
    /// Records that `tokens` were spent at `now`.
    pub(crate) fn record(&mut self, tokens: Tokens, now: Timestamp) {
        self.weighted = self.weighted_at(now) + tokens.0 as f64;
        self.updated = now;
    }

    /// Returns the tokens spent within `span` at the current rate.
    pub(crate) fn tokens_in(&self, span: Duration, now: Timestamp) -> Tokens {
        let per_second = self.weighted_at(now) / AVERAGE_TIME_CONSTANT.as_secs_f64();
        // The cast saturates on overflow.
        #[allow(clippy::cast_possible_truncation)]
        Tokens((per_second * span.as_secs_f64()) as u64)
    }

    fn weighted_at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / AVERAGE_TIME_CONSTANT.as_secs_f64();
        self.weighted * (-age).exp()
    }
}
