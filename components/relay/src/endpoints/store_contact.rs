//! Whether a missing entry proves that an endpoint is gone.

use std::time::Duration;

use types::Timestamp;

/// Time after the return of the list's store within which entries of live endpoints that
/// lapsed come back (the users' request: about two seconds).
const ENTRIES_RETURN_TIME: Duration = Duration::from_secs(2);

/// Contact to the store of the endpoints' list.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    /// Whether the last call failed.
    is_lost: bool,
    /// When the store answered again after it was lost.
    returned_at: Option<Timestamp>,
}

impl StoreContact {
    /// Notes whether a call was answered.
    pub(super) fn note(&mut self, is_answered: bool, now: Timestamp) {
        if is_answered && self.is_lost {
            self.returned_at = Some(now);
        }
        self.is_lost = !is_answered;
    }

    /// Returns when an endpoint whose entry is missing now is taken to be gone.
    pub(super) fn gone_at(&self, now: Timestamp) -> Timestamp {
        self.returned_at.map_or(now, |it| now.max(it + ENTRIES_RETURN_TIME))
    }
}
