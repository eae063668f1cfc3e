//! Points in wall-clock time.

use std::{
    ops::Add,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// Point in time, in milliseconds after 1970-01-01 UTC.
///
/// Read from the clock of one host, which may be wrong. Used only for display, records and
/// long expiry times; no safety-critical decision depends on it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Returns the current time of this host's clock.
    pub fn now() -> UnixMillis {
        UnixMillis::from(SystemTime::now())
    }
}

impl From<SystemTime> for UnixMillis {
    fn from(time: SystemTime) -> UnixMillis {
        let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMillis(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
    }
}

impl From<UnixMillis> for SystemTime {
    fn from(time: UnixMillis) -> SystemTime {
        UNIX_EPOCH + Duration::from_millis(time.0)
    }
}

impl Add<Duration> for UnixMillis {
    type Output = UnixMillis;

    fn add(self, span: Duration) -> UnixMillis {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        UnixMillis(self.0.saturating_add(millis))
    }
}
