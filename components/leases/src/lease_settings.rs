//! Settings of a lease.

use std::time::Duration;

/// Settings of a lease, which must be the same for all contenders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which the holder may act, counted from when it sent its last renewal.
    pub duration: Duration,
    /// Additional time that other contenders wait, to allow for clocks that run at slightly
    /// different rates.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings { duration: Duration::from_secs(10), margin: Duration::from_secs(2) }
    }
}
