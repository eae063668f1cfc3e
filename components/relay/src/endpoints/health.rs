//! Health of an endpoint, as requests see it.

use std::time::Duration;

use types::Timestamp;

/// Weight of a new outcome in the mean.
const OUTCOME_WEIGHT: f64 = 0.25;

/// Time in which the memory of failures halves, so that an endpoint is tried again.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time for which an endpoint that refused a connection gets work only where no other has
/// room.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(800);

/// Health of an endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    /// Mean share of failed requests, from 0 to 1, at `noted_at`.
    failure_share: f64,
    /// Time of the last outcome.
    noted_at: Timestamp,
    /// Until when the endpoint is taken to be unreachable.
    paused_until: Timestamp,
}

impl Health {
    /// Notes the outcome of a request.
    pub(super) fn note(&mut self, is_failure: bool, now: Timestamp) {
        let outcome = if is_failure { 1.0 } else { 0.0 };
        let share = self.failure_share(now);
        self.failure_share = share + (outcome - share) * OUTCOME_WEIGHT;
        self.noted_at = now;
    }

    /// Notes that no connection was made.
    pub(super) fn note_unreachable(&mut self, now: Timestamp) {
        self.note(true, now);
        self.paused_until = now + UNREACHABLE_PAUSE;
    }

    /// Returns the share of failed requests; older failures count less.
    pub(super) fn failure_share(&self, now: Timestamp) -> f64 {
        let age = now.since(self.noted_at).as_secs_f64();
        self.failure_share * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Tells whether the endpoint did not accept a connection lately.
    pub(super) fn is_paused(&self, now: Timestamp) -> bool {
        now < self.paused_until
    }
}
