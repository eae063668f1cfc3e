//! Requests in progress.

use serde::{Deserialize, Serialize};
use types::{AccountName, RequestId, RouterName};

/// Answer to `GET /admin/v1/requests`: the requests of the router that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestList {
    /// The router that answers.
    pub router: RouterName,
    /// Requests in progress on it.
    pub in_progress: usize,
    /// The oldest of them, at most 1,000.
    pub requests: Vec<RunningRequest>,
}

/// A request in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Client account.
    pub account: AccountName,
    /// Request id.
    pub request: RequestId,
    /// Time since the router began it, in milliseconds.
    pub age_ms: u64,
}
