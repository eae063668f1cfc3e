//! Slowness of one endpoint.

use std::time::Duration;

use types::Timestamp;

use super::capacity::LearnedCapacity;

/// Time over which the current slowness is averaged.
const CURRENT_TIME: Duration = Duration::from_millis(1_200);

/// Time over which the usual slowness is averaged.
const USUAL_TIME: Duration = Duration::from_secs(20);

/// Answers that the usual slowness counts as in the current one.
const USUAL_WEIGHT: f64 = 1.0;

/// Answers that the service's mean counts as in the usual slowness.
const MEAN_WEIGHT: f64 = 1.0;

/// Largest number of answers that the usual slowness remembers, so that it is forgotten within
/// minutes if no answers arrive.
const USUAL_ANSWERS_MAX: f64 = 40.0;

/// Largest factor by which a single answer may differ from the usual slowness.
const OUTLIER_FACTOR: f64 = 3.0;

/// Factor within which endpoints count as equally fast.
const EQUAL_FACTOR: f64 = 1.3;

/// Factor between two levels of slowness, on which the distribution of prompt parts is based.
const LEVEL_FACTOR: f64 = 1.6;

/// Part of a level by which the usual slowness has to exceed the border between two levels before
/// the level changes.
const LEVEL_HYSTERESIS: f64 = 0.3;

/// Answers that are needed before the level leaves zero.
const LEVEL_ANSWERS_MIN: f64 = 8.0;

/// Highest level, and the opposite of the lowest one.
const LEVEL_MAX: i32 = 6;

/// Weighted mean of logarithms that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct LogMean {
    sum: f64,
    weight: f64,
}

impl LogMean {
    fn decay(&mut self, elapsed: Duration, time: Duration) {
        let factor = (-elapsed.as_secs_f64() / time.as_secs_f64()).exp();
        self.sum *= factor;
        self.weight *= factor;
    }

    fn add(&mut self, value: f64, weight: f64, weight_max: f64) {
        self.sum += value * weight;
        self.weight += weight;
        if self.weight > weight_max {
            self.sum *= weight_max / self.weight;
            self.weight = weight_max;
        }
    }

    fn get(&self, prior: f64, prior_weight: f64) -> f64 {
        (self.sum + prior * prior_weight) / (self.weight + prior_weight)
    }
}

/// What is known of one endpoint's speed. Factors are relative to the model of its service; above 1
/// the endpoint is slower.
#[derive(Debug, Clone, Default)]
pub struct EndpointSpeed {
    /// Logarithm of the slowness over the last second.
    current: LogMean,
    /// The same over the last 20 seconds.
    usual: LogMean,
    /// When the means were last decayed.
    at: Timestamp,
    /// Usual slowness as a power of [`LEVEL_FACTOR`]; changes with hysteresis.
    level: i32,
    /// Number of requests up to which it is not slowed down.
    capacity: LearnedCapacity,
}

impl EndpointSpeed {
    /// Returns the current slowness; exactly 1 if it is about the service's mean.
    pub fn slowness(&self, now: Timestamp) -> f64 {
        let mut current = self.current;
        current.decay(now.since(self.at), CURRENT_TIME);
        let log = current.get(self.usual_log(), USUAL_WEIGHT);
        if log.abs() < EQUAL_FACTOR.ln() { 1.0 } else { log.exp() }
    }

    /// Returns the usual slowness in steps, which changes seldom.
    pub fn usual_slowness(&self) -> f64 {
        LEVEL_FACTOR.powi(self.level)
    }

    /// Returns the number of requests up to which its answers are on time, at most `stated`.
    pub fn capacity(&self, stated: u32, now: Timestamp) -> u32 {
        self.capacity.get(stated, now)
    }

    /// Returns the usual slowness without rounding, as a factor.
    pub(super) fn usual_factor(&self) -> f64 {
        self.usual_log().exp()
    }

    /// Returns how far an answer differs from what is known of the endpoint, as a logarithm.
    pub(super) fn deviation(&self, factor: f64) -> f64 {
        factor.ln() - self.usual_log()
    }

    /// Records an answer that took `factor` times as long as its service's model says. `running` is
    /// the number of requests that ran there, and `stated` its stated capacity.
    pub(super) fn record(
        &mut self,
        factor: f64,
        weight: f64,
        running: f64,
        stated: u32,
        now: Timestamp,
    ) {
        let elapsed = now.since(self.at);
        self.current.decay(elapsed, CURRENT_TIME);
        self.usual.decay(elapsed, USUAL_TIME);
        self.at = self.at.max(now);
        let usual = self.usual_log();
        let log = factor.ln().clamp(usual - OUTLIER_FACTOR.ln(), usual + OUTLIER_FACTOR.ln());
        self.capacity.record(log, weight, running, stated, now);
        // An answer that is late because the endpoint is full says nothing of its speed.
        if running <= f64::from(self.capacity.get(stated, now)) {
            self.current.add(log, weight, f64::MAX);
            self.usual.add(log, weight, USUAL_ANSWERS_MAX);
        }
        self.update_level();
    }

    fn usual_log(&self) -> f64 {
        self.usual.get(0.0, MEAN_WEIGHT)
    }

    fn update_level(&mut self) {
        if self.usual.weight < LEVEL_ANSWERS_MIN {
            return;
        }
        let exact = self.usual_log() / LEVEL_FACTOR.ln();
        if (exact - f64::from(self.level)).abs() > 0.5 + LEVEL_HYSTERESIS {
            let level = exact.round().clamp(f64::from(-LEVEL_MAX), f64::from(LEVEL_MAX));
            #[allow(clippy::cast_possible_truncation, reason = "the value is rounded and small")]
            let level = level as i32;
            self.level = level;
        }
    }
}

#[cfg(test)]
#[path = "endpoint_tests.rs"]
mod tests;
