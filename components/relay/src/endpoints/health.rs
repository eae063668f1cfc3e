//! Health of an endpoint, derived from the outcomes of this router's requests.

use std::time::Duration;

use types::Timestamp;

/// Weight of a new outcome in the moving average of failures.
const OUTCOME_WEIGHT: f64 = 0.25;

/// Time in which the recorded share of failures halves, so that an endpoint is tried again.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Time for which an endpoint that refused a connection or a request gets requests only if no other
/// has capacity.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(800);

/// Failures of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    /// Moving average of the share of failed requests at `updated_at`, from 0 to 1.
    failure_share: f64,
    /// Time of the last recorded outcome.
    updated_at: Timestamp,
    /// Time until which the endpoint is treated as unreachable.
    paused_until: Timestamp,
}

impl Health {
    /// Records the outcome of a request.
    pub(super) fn record(&mut self, is_failure: bool, now: Timestamp) {
        let outcome = if is_failure { 1.0 } else { 0.0 };
        let share = self.failure_share(now);
        self.failure_share = share + (outcome - share) * OUTCOME_WEIGHT;
        self.updated_at = now;
    }

    /// Records a refused connection or request: counts as a failure and pauses the endpoint.
    pub(super) fn record_unreachable(&mut self, now: Timestamp) {
        self.record(true, now);
        self.paused_until = now + UNREACHABLE_PAUSE;
    }

    /// Returns the share of failed requests, from 0 to 1; older failures count less.
    pub(super) fn failure_share(&self, now: Timestamp) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.failure_share * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Reports whether the endpoint was unreachable within the last [`UNREACHABLE_PAUSE`].
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }
}
