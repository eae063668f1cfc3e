//! Ejection of endpoints that fail.

use std::time::Duration;

use types::Timestamp;

/// Most doublings of the ejection time.
const DOUBLINGS_MAX: u32 = 5;

/// Time after a failure for which an endpoint is suspect.
const SUSPICION_TIME: Duration = Duration::from_secs(5);

/// Whether an endpoint fails.
#[derive(Debug, Default)]
pub(crate) struct Health {
    /// Failures since the last success.
    failures: u32,
    /// When the last of them happened.
    failed_at: Timestamp,
    /// Ejections since the last success.
    ejections: u32,
    /// Until when it is ejected; a probe must succeed after that.
    ejected_until: Option<Timestamp>,
    /// Until when it gets no work after a refusal.
    paused_until: Option<Timestamp>,
    /// Whether a request probes the endpoint now.
    is_probing: bool,
}

impl Health {
    /// Notes a success; true where it ends an ejection.
    pub(crate) fn on_success(&mut self) -> bool {
        let was_ejected = self.ejected_until.is_some();
        *self = Health { paused_until: self.paused_until, ..Health::default() };
        was_ejected
    }

    /// Ends an ejection after a probe. The next one lasts longer unless a request
    /// succeeds before it.
    pub(crate) fn end_ejection(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
    }

    /// Notes a failure.
    pub(crate) fn on_failure(&mut self, now: Timestamp) {
        self.failed_at = now;
        self.failures = self.failures.saturating_add(1);
        self.is_probing = false;
    }

    /// Returns failures since the last success.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Tells whether it failed lately.
    pub(crate) fn is_suspect(&self, now: Timestamp) -> bool {
        self.failures > 0 && now.since(self.failed_at) < SUSPICION_TIME
    }

    /// Ejects the endpoint for `base`, doubled with each ejection in a row.
    pub(crate) fn eject(&mut self, base: Duration, now: Timestamp) {
        let factor = 1 << self.ejections.min(DOUBLINGS_MAX);
        self.ejections = self.ejections.saturating_add(1);
        self.ejected_until = Some(now + base * factor);
    }

    /// Keeps work away for a while after a refusal.
    pub(crate) fn pause(&mut self, until: Timestamp) {
        self.paused_until = Some(until);
    }

    /// Tells whether the endpoint is ejected.
    pub(crate) fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Tells whether a probe may be sent.
    pub(crate) fn may_probe(&self, now: Timestamp) -> bool {
        self.ejected_until.is_some_and(|until| now >= until) && !self.is_probing
    }

    /// Notes that a request probes the endpoint.
    pub(crate) fn start_probe(&mut self) {
        self.is_probing = true;
    }

    /// Notes that the probe ended without a verdict.
    pub(crate) fn end_probe(&mut self) {
        self.is_probing = false;
    }

    /// Tells whether a refusal keeps work away.
    pub(crate) fn is_paused(&self, now: Timestamp) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ejection_doubles_and_a_success_ends_it() {
        let mut health = Health::default();
        let base = Duration::from_secs(1);
        health.on_failure(Timestamp::ZERO);
        health.eject(base, Timestamp::ZERO);
        assert!(!health.may_probe(Timestamp::from_millis(999)));
        assert!(health.may_probe(Timestamp::from_millis(1_000)));
        health.start_probe();
        assert!(!health.may_probe(Timestamp::from_millis(1_000)));
        health.on_failure(Timestamp::from_millis(1_000));
        health.eject(base, Timestamp::from_millis(1_000));
        assert!(!health.may_probe(Timestamp::from_millis(2_999)));
        assert!(health.may_probe(Timestamp::from_millis(3_000)));
        assert!(health.on_success());
        assert!(!health.is_ejected());
    }

    #[test]
    fn single_failure_is_forgiven_after_a_while() {
        let mut health = Health::default();
        health.on_failure(Timestamp::ZERO);
        assert!(health.is_suspect(Timestamp::from_millis(4_999)));
        assert!(!health.is_suspect(Timestamp::from_millis(5_000)));
        assert_eq!(health.failures(), 1);
    }
}
