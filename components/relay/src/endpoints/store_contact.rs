//! Decides, from the connectivity to the store that holds the list of endpoints, when an endpoint
//! whose entry is missing is removed.

use std::time::Duration;

use types::Timestamp;

/// Time within which live endpoints restore entries that lapsed during an outage of the store,
/// counted from the store's recovery. The requirement is about two seconds.
const ENTRY_RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Connectivity to the store that holds the list of endpoints.
#[derive(Debug, Default)]
pub(super) struct StoreContact {
    /// Whether the last call failed.
    is_unreachable: bool,
    /// When the store last answered again after an outage.
    recovered_at: Option<Timestamp>,
}

impl StoreContact {
    /// Records whether the store answered a call.
    pub(super) fn record(&mut self, is_answered: bool, now: Timestamp) {
        if is_answered && self.is_unreachable {
            self.recovered_at = Some(now);
        }
        self.is_unreachable = !is_answered;
    }

    /// Records that entries may be missing because the store has come back from an older copy.
    pub(super) fn record_recovery(&mut self, now: Timestamp) {
        self.recovered_at = Some(now);
    }

    /// Returns when an endpoint whose entry is missing at `now` is to be removed: at once, or when
    /// the time for restoring entries after an outage has passed.
    pub(super) fn expires_at(&self, now: Timestamp) -> Timestamp {
        self.recovered_at.map_or(now, |it| now.max(it + ENTRY_RECOVERY_TIME))
    }
}
