//! Pause that an endpoint asks of this router.

use std::time::Duration;

use types::Timestamp;

/// Maximum time for which other requests wait for the answer to the one that tests whether a pause
/// is over.
const TEST_INTERVAL: Duration = Duration::from_secs(1);

/// Longest pause that an endpoint may ask for.
pub(super) const PAUSE_MAX: Duration = Duration::from_secs(3_600);

/// A pause that an endpoint has asked for. When its time has passed, a single request tests whether
/// it is over; it ends with an answer that asks for no other pause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Pause {
    /// Time before which no request is sent.
    pub(super) until: Timestamp,
    /// When the endpoint last asked for a pause.
    pub(super) asked_at: Timestamp,
}

impl Pause {
    /// Creates the pause of an answer that arrived at `now`. It does not shorten an earlier one.
    pub(super) fn new(time: Duration, earlier: Option<Pause>, now: Timestamp) -> Pause {
        let until = now + time;
        Pause { until: earlier.map_or(until, |it| it.until.max(until)), asked_at: now }
    }

    /// Records that a request was sent to test whether the pause is over.
    pub(super) fn record_test(&mut self, now: Timestamp) {
        self.until = now + TEST_INTERVAL;
    }
}
