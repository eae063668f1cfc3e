//! Failure tracking and ejection of endpoints.

use std::time::Duration;

use types::Timestamp;

/// Maximum number of times that the ejection time doubles.
const EJECTION_DOUBLINGS_MAX: u32 = 5;

/// Time for which an endpoint is suspect after a failure.
const SUSPICION_TIME: Duration = Duration::from_secs(5);

/// Failures, ejections and pauses of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Failures since the last success.
    failures: u32,
    /// When the last failure happened.
    failed_at: Timestamp,
    /// Ejections since the last success.
    ejections: u32,
    /// Earliest time of a probe that can end the ejection; `None` if not ejected.
    ejected_until: Option<Timestamp>,
    /// Until when the endpoint gets no requests because it refused one.
    paused_until: Option<Timestamp>,
    /// Whether a request that probes the endpoint is in progress.
    is_probing: bool,
}

impl Health {
    /// Records a success and returns whether it ended an ejection.
    pub(crate) fn on_success(&mut self) -> bool {
        let was_ejected = self.ejected_until.is_some();
        *self = Health { paused_until: self.paused_until, ..Health::default() };
        was_ejected
    }

    /// Ends an ejection after a successful load poll. The next ejection lasts longer
    /// unless a request succeeds before it.
    pub(crate) fn end_ejection(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
    }

    /// Records a failure. A probe in progress has failed.
    pub(crate) fn on_failure(&mut self, now: Timestamp) {
        self.failed_at = now;
        self.failures = self.failures.saturating_add(1);
        self.is_probing = false;
    }

    /// Returns the number of failures since the last success.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Reports whether the endpoint failed within [`SUSPICION_TIME`].
    pub(crate) fn is_suspect(&self, now: Timestamp) -> bool {
        self.failures > 0 && now.since(self.failed_at) < SUSPICION_TIME
    }

    /// Ejects the endpoint for `base`, doubled for each earlier ejection since the last
    /// success.
    pub(crate) fn eject(&mut self, base: Duration, now: Timestamp) {
        let factor = 1 << self.ejections.min(EJECTION_DOUBLINGS_MAX);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + base * factor);
    }

    /// Pauses the endpoint until `until`, after it refused a request.
    pub(crate) fn pause(&mut self, until: Timestamp) {
        self.paused_until = Some(until);
    }

    /// Reports whether the endpoint is ejected, including while a probe is due or in
    /// progress.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Reports whether the ejection time is over and no probe is in progress.
    pub(crate) fn may_probe(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.is_probing
    }

    /// Records that a request that probes the endpoint was sent.
    pub(crate) fn start_probe(&mut self) {
        self.is_probing = true;
    }

    /// Records that the probe ended without showing whether the endpoint works.
    pub(crate) fn end_probe(&mut self) {
        self.is_probing = false;
    }

    /// Reports whether the endpoint is paused after a refusal.
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

#[cfg(test)]
#[path = "health_tests.rs"]
mod tests;
