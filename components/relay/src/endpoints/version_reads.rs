//! When the versions of services were read.

use std::time::Duration;

use types::Timestamp;

use crate::units::millis;

/// Age of the last complete read of the list above which changes may be missing.
const LIST_MAX_AGE: Duration = Duration::from_secs(2);

/// Reads from which this router knows the versions of services. Times are by a clock that counts the time
/// for which the host was suspended, and are those at which reads began: what an answer lacks may have
/// been written while it was under way.
#[derive(Debug, Default)]
pub(super) struct VersionReads {
    /// When the last read of the list of endpoints, or of its changes, began.
    list_at: Option<Timestamp>,
    /// When the first read of the list after a gap began, or after the start. Versions may have come
    /// and gone in the gap.
    gap_ended_at: Timestamp,
    /// When the last read of the versions that the store names began.
    names_at: Option<Timestamp>,
}

impl VersionReads {
    /// Records a read of the list that began at a time.
    pub(super) fn record_list(&mut self, began_at: Timestamp) {
        if !self.has_recent_list(began_at) {
            self.gap_ended_at = began_at;
            if let Some(before) = self.list_at {
                log::info!(gap_ms = millis(began_at.since(before)); "list of endpoints read after a gap; the named versions are read again");
            }
        }
        self.list_at = Some(began_at);
    }

    /// Records a read of the named versions that began at a time.
    pub(super) fn record_names(&mut self, began_at: Timestamp) {
        self.names_at = Some(began_at);
    }

    /// Reports whether the list was read by a read that began at `since` or later.
    pub(super) fn has_list_since(&self, since: Timestamp) -> bool {
        self.list_at.is_some_and(|at| at >= since)
    }

    /// Reports whether the list is recent enough to have all changes.
    pub(super) fn has_recent_list(&self, now: Timestamp) -> bool {
        self.list_at.is_some_and(|at| now.since(at) <= LIST_MAX_AGE)
    }

    /// Reports whether the named versions have been read since the last gap.
    pub(super) fn has_names(&self) -> bool {
        self.names_at.is_some_and(|at| at >= self.gap_ended_at)
    }
}
