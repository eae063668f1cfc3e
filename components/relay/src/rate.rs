//! Exponentially decaying rates.

use std::time::Duration;

use types::Timestamp;

/// Lower bound of the share of the weights that falls after the first amount, so that the first
/// amount does not look like a high rate.
const OBSERVED_SHARE_MIN: f64 = 0.5;

/// Exponentially weighted mean of amounts per second.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    /// Time constant of the decay.
    time_constant: Duration,
    /// Weighted sum of the amounts as of `at`, divided by the time constant.
    value: f64,
    /// When the last amount was added.
    at: Timestamp,
    /// When the first amount was added.
    first_at: Option<Timestamp>,
    /// Whether the rate before the first amount was given.
    is_continued: bool,
}

impl Rate {
    /// Creates a rate of zero that decays with `time_constant`.
    pub(crate) fn new(time_constant: Duration) -> Rate {
        Rate { time_constant, value: 0.0, at: Timestamp::ZERO, first_at: None, is_continued: false }
    }

    /// Adds an amount that arrived at `now`.
    pub(crate) fn add(&mut self, amount: f64, now: Timestamp) {
        self.value = self.decayed(now) + amount / self.time_constant.as_secs_f64();
        self.at = now;
        self.first_at.get_or_insert(now);
    }

    /// Continues a rate that was observed elsewhere up to `now`, unless it is lower than this one.
    pub(crate) fn continue_at(&mut self, per_second: f64, now: Timestamp) {
        if per_second > self.get(now) {
            self.value = per_second;
            self.at = now;
            self.first_at.get_or_insert(now);
            self.is_continued = true;
        }
    }

    /// Returns the mean amount per second, corrected for the time before the first amount.
    pub(crate) fn get(&self, now: Timestamp) -> f64 {
        let Some(first_at) = self.first_at else { return 0.0 };
        if self.is_continued {
            return self.decayed(now);
        }
        let observed = 1.0 - self.decay(now.since(first_at));
        self.decayed(now) / observed.max(OBSERVED_SHARE_MIN)
    }

    /// Returns the amount expected within `span`, rounded up.
    #[allow(clippy::cast_possible_truncation, reason = "amounts are far below the limit")]
    pub(crate) fn expected(&self, span: Duration, now: Timestamp) -> u64 {
        (self.get(now) * span.as_secs_f64()).ceil() as u64
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        self.value * self.decay(now.since(self.at))
    }

    fn decay(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
