//! Requests in progress.

use serde::{Deserialize, Serialize};
use types::{AccountName, RequestId, RouterName};

/// Answer to `GET /admin/v1/requests`: the requests in progress on the answering router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestList {
    /// Name of the answering router.
    pub router: RouterName,
    /// Number of requests in progress on it.
    pub in_progress: usize,
    /// The oldest of these requests, at most 1,000.
    pub requests: Vec<RunningRequest>,
}

/// Request in progress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningRequest {
    /// Client account.
    pub account: AccountName,
    /// Request id.
    pub request: RequestId,
    /// Time since the router started the request, in milliseconds.
    pub age_ms: u64,
}
