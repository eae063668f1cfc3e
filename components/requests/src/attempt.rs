//! Attempts: runs of a request on one router.

use serde::{Deserialize, Serialize};
use types::RouterId;

/// One run of a request on one router. Each answer belongs to exactly one attempt.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Attempt {
    /// Router that runs the request.
    pub router: RouterId,
    /// Number of the run, unique within the router process.
    pub number: u64,
}

impl Attempt {
    /// Creates attempt `number` of `router`.
    pub fn new(router: RouterId, number: u64) -> Attempt {
        Attempt { router, number }
    }
}
