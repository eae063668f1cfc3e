//! Number of requests up to which an endpoint is not slowed down by their number.

use std::time::Duration;

use types::Timestamp;

/// Factor between answers at high and at low load above which the load is too high.
const STEEP_FACTOR: f64 = 1.8;

/// Answers of each kind that have to be known before the limit falls.
const ANSWERS_MIN: f64 = 3.0;

/// Share of the limit above which answers count as made at high load.
const HIGH_SHARE: f64 = 0.7;

/// Share of the limit up to which answers count as made at low load.
const LOW_SHARE: f64 = 0.5;

/// Factor by which the limit falls in one step.
const DECREASE_FACTOR: f64 = 0.85;

/// Least time between two steps down.
const DECREASE_INTERVAL: Duration = Duration::from_millis(300);

/// Rise of the limit, as a share of the stated capacity per second.
const RISE_PER_S: f64 = 0.02;

/// Least limit, as a share of the stated capacity.
const FLOOR_SHARE: f64 = 0.25;

/// Time over which answers are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(3);

/// Logarithms of the times of answers, as weighted sums.
#[derive(Debug, Clone, Copy, Default)]
struct Times {
    sum: f64,
    weight: f64,
}

impl Times {
    fn mean(self) -> Option<f64> {
        (self.weight >= ANSWERS_MIN).then(|| self.sum / self.weight)
    }
}

/// Limit that falls while answers at high load take far longer than at low load, compared with the
/// service's model, and rises slowly. As both are compared over the same seconds, an endpoint that is
/// slow at any load keeps its limit.
#[derive(Debug, Clone, Default)]
pub(super) struct LearnedCapacity {
    /// Answers at low load.
    low: Times,
    /// Answers at high load.
    high: Times,
    /// When the sums were last decayed.
    at: Timestamp,
    /// Limit as a share of the stated capacity, and when it last fell; `None` before the first time.
    fallen: Option<(f64, Timestamp)>,
}

impl LearnedCapacity {
    /// Returns the limit for an endpoint that states a capacity.
    pub(super) fn get(&self, stated: u32, now: Timestamp) -> u32 {
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most stated"
        )]
        let limit = (f64::from(stated) * self.share(now)).ceil() as u32;
        limit.clamp(1, stated.max(1))
    }

    /// Records the logarithm of an answer's time relative to the model.
    pub(super) fn record(
        &mut self,
        log: f64,
        weight: f64,
        running: f64,
        stated: u32,
        now: Timestamp,
    ) {
        let factor = (-now.since(self.at).as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp();
        self.at = self.at.max(now);
        for times in [&mut self.low, &mut self.high] {
            times.sum *= factor;
            times.weight *= factor;
        }
        let limit = f64::from(stated) * self.share(now);
        let times = if running >= limit * HIGH_SHARE {
            &mut self.high
        } else if running <= limit * LOW_SHARE {
            &mut self.low
        } else {
            return;
        };
        times.sum += log * weight;
        times.weight += weight;
        let (Some(low), Some(high)) = (self.low.mean(), self.high.mean()) else { return };
        let is_due = self.fallen.is_none_or(|(_, at)| now.since(at) >= DECREASE_INTERVAL);
        if high - low > STEEP_FACTOR.ln() && is_due {
            let share = (self.share(now) * DECREASE_FACTOR).max(FLOOR_SHARE);
            self.fallen = Some((share, now));
            // The next step needs answers at the new limit.
            self.high = Times::default();
        }
    }

    fn share(&self, now: Timestamp) -> f64 {
        let Some((share, at)) = self.fallen else { return 1.0 };
        (share + now.since(at).as_secs_f64() * RISE_PER_S).min(1.0)
    }
}

#[cfg(test)]
#[path = "capacity_tests.rs"]
mod tests;
