//! Identity of a crash.

use utils::stable_hash;

/// Identifies the end of one process of an endpoint, so that what several routers saw of it counts
/// as one crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CrashId(pub u64);

impl CrashId {
    /// Creates the id for an endpoint, the start time of its process, in milliseconds since the Unix
    /// epoch, and the number of later processes that are known to have ended.
    pub fn new(endpoint: &str, started_at_ms: u64, ended: u32) -> CrashId {
        CrashId(stable_hash(&[
            endpoint.as_bytes(),
            &started_at_ms.to_le_bytes(),
            &ended.to_le_bytes(),
        ]))
    }
}
