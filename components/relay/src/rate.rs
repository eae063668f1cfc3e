//! Rates that forget.

use std::time::Duration;

use types::Timestamp;

/// Least share of the averaging time that counts as observed, so that the first amount does
/// not pass for a high rate.
const OBSERVED_MIN: f64 = 0.5;

/// Mean amount a second, in which older amounts count less.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Rate {
    /// Time over which amounts are averaged.
    time: Duration,
    /// Weighted sum of the amounts at `at`, divided by `time`.
    value: f64,
    /// Time of the last amount.
    at: Timestamp,
    /// Time of the first amount.
    first_at: Option<Timestamp>,
}

impl Rate {
    /// Creates a rate of zero that averages over `time`.
    pub(crate) fn new(time: Duration) -> Rate {
        Rate { time, value: 0.0, at: Timestamp::ZERO, first_at: None }
    }

    /// Adds an amount.
    pub(crate) fn add(&mut self, amount: f64, now: Timestamp) {
        self.value = self.decayed(now) + amount / self.time.as_secs_f64();
        self.at = now;
        self.first_at.get_or_insert(now);
    }

    /// Returns the mean amount a second. It makes up for the time before the first amount.
    pub(crate) fn get(&self, now: Timestamp) -> f64 {
        let Some(first_at) = self.first_at else { return 0.0 };
        let observed = 1.0 - self.decay(now.since(first_at));
        self.decayed(now) / observed.max(OBSERVED_MIN)
    }

    /// Returns the amount that is to be expected within `span`, rounded up.
    #[allow(clippy::cast_possible_truncation, reason = "amounts are far below the limit")]
    pub(crate) fn expected(&self, span: Duration, now: Timestamp) -> u64 {
        (self.get(now) * span.as_secs_f64()).ceil() as u64
    }

    fn decayed(&self, now: Timestamp) -> f64 {
        self.value * self.decay(now.since(self.at))
    }

    fn decay(&self, age: Duration) -> f64 {
        (-age.as_secs_f64() / self.time.as_secs_f64()).exp()
    }
}
