//! Lease rows of the table.

use platform::Key;
use serde::{Deserialize, Serialize};
use types::{FencingNumber, RouterId};

/// Row of a lease. The row is never deleted, so that fencing numbers are never reused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// Current or last holder of the lease.
    pub holder: RouterId,
    /// Fencing number, incremented with each new holder.
    pub fencing: FencingNumber,
    /// Heartbeat counter; starts at 1 and is incremented with each renewal.
    pub heartbeat: u64,
    /// Whether the holder has released the lease.
    #[serde(default)]
    pub released: bool,
}

/// Returns the key of the row of the lease for `job`.
pub fn lease_key(job: &str) -> Key {
    Key::from_parts(&["lease", job])
}
