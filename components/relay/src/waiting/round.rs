//! Attempts of waiting requests, one after the other, to get places that may have become free.

use std::time::Duration;

use routing::WaiterId;
use types::Timestamp;

/// Minimum time between rounds that reports of other routers cause.
const REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// A round in which the waiting requests that are next try to get a place. Only one tries at a
/// time, so that no more are woken than find places.
#[derive(Debug, Default)]
pub(super) struct Round {
    /// Requests that found no place in this round.
    tried: Vec<WaiterId>,
    /// Request that was told to try and has not reported the result.
    current: Option<WaiterId>,
    /// Whether places may have become free since the round began.
    is_outdated: bool,
    /// When the last round began.
    began_at: Timestamp,
}

impl Round {
    /// Begins a round, or begins the current one anew once the current attempt has ended. Reports
    /// whether the next request may try.
    pub(super) fn begin(&mut self, now: Timestamp) -> bool {
        if self.current.is_some() {
            self.is_outdated = true;
            return false;
        }
        self.tried.clear();
        self.began_at = now;
        true
    }

    /// Reports whether the last round was so long ago that a report of another router begins one.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        now.since(self.began_at) >= REPORT_INTERVAL
    }

    /// Returns the first of `candidates` that has not tried in this round, which is to try now.
    pub(super) fn next(&mut self, candidates: &[WaiterId]) -> Option<WaiterId> {
        self.current = candidates.iter().find(|it| !self.tried.contains(it)).copied();
        self.current
    }

    /// Ends the attempt of a request. Reports whether the next one may try, which it may not if
    /// another attempt is in progress.
    pub(super) fn end_attempt(&mut self, id: WaiterId, is_placed: bool, now: Timestamp) -> bool {
        if self.current != Some(id) {
            return false;
        }
        self.current = None;
        if std::mem::take(&mut self.is_outdated) {
            return self.begin(now);
        }
        if !is_placed {
            self.tried.push(id);
        }
        true
    }
}
