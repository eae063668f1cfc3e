//! Time that endpoints need from a request to its answer or its first event.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Number of mean deviations above the mean that a start leaves room for.
const DEVIATIONS: f64 = 2.0;

/// Share of the latency target that is left for the endpoint before the first sample, and at
/// most.
const TARGET_SHARE_INITIAL: f64 = 0.5;
const TARGET_SHARE_MAX: f64 = 0.75;

/// Moving average of the time from sending a request to its answer or its first event.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StartTime {
    /// Mean and mean deviation, in seconds; `None` before the first sample.
    sample: Option<(f64, f64)>,
}

impl StartTime {
    /// Records the time that one request took.
    pub(super) fn record(&mut self, time: Duration) {
        let time_s = time.as_secs_f64();
        let (mean_s, deviation_s) = self.sample.unwrap_or((time_s, time_s / 2.0));
        let error_s = time_s - mean_s;
        self.sample = Some((
            mean_s + error_s * SAMPLE_WEIGHT,
            deviation_s + (error_s.abs() - deviation_s) * SAMPLE_WEIGHT,
        ));
    }

    /// Returns the part of the latency target that has to be left when a request is sent.
    pub(super) fn reserve(&self, latency_target: Duration) -> Duration {
        let Some((mean_s, deviation_s)) = self.sample else {
            return latency_target.mul_f64(TARGET_SHARE_INITIAL);
        };
        let needed = Duration::from_secs_f64(mean_s + DEVIATIONS * deviation_s);
        needed.min(latency_target.mul_f64(TARGET_SHARE_MAX))
    }
}
