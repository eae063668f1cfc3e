//! Settings of leases.

use std::time::Duration;

/// Settings of a lease; all contenders share them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Time for which the holder may act after it sent its last renewal.
    pub duration: Duration,
    /// Further time that others wait, for clocks that run at slightly different rates.
    pub margin: Duration,
}

impl Default for LeaseSettings {
    fn default() -> LeaseSettings {
        LeaseSettings { duration: Duration::from_secs(10), margin: Duration::from_secs(2) }
    }
}
