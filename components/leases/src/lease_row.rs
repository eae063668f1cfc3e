//! Lease rows.

use platform::Key;
use serde::{Deserialize, Serialize};
use types::{FencingNumber, RouterId};

/// The row of a lease. Never deleted, so that fencing numbers never repeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRow {
    /// Process that holds the lease, or held it last.
    pub holder: RouterId,
    /// Fencing number: grows by one with each new holder.
    pub fencing: FencingNumber,
    /// Counts the holder's renewals.
    pub heartbeat: u64,
    /// Whether the holder has given the lease up.
    #[serde(default)]
    pub released: bool,
}

/// Returns the key of the row of the lease for `job`.
pub fn lease_key(job: &str) -> Key {
    Key::from_parts(&["lease", job])
}
