//! Requests in progress.

use serde::{Deserialize, Serialize};
use types::RouterName;

/// Answer to `GET /admin/v1/requests`: the requests of the router that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestList {
    /// The router that answers.
    pub router: RouterName,
    /// Requests in progress on it.
    pub in_progress: usize,
}
