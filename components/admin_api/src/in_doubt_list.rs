//! Grants in doubt and calls with unknown outcome, which only an operator can resolve.

use serde::{Deserialize, Serialize};
use types::{AccountName, RequestId, RouterId, Tokens, UnixMillis};

/// Answer to `GET /admin/v1/in-doubt`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtList {
    /// Grants in doubt of this page.
    pub grants: Vec<InDoubtGrant>,
    /// Value of the `after` parameter for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Tokens granted to a router that is gone. It is unknown whether they were spent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtGrant {
    /// Client account.
    pub account: AccountName,
    /// Router process that had the grant.
    pub router: RouterId,
    /// Number of tokens in doubt.
    pub tokens: Tokens,
    /// Time since which they are in doubt, in milliseconds since 1970-01-01 UTC; absent if
    /// unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<UnixMillis>,
}

/// Answer to `GET /admin/v1/outcome-unknown`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeUnknownList {
    /// Calls of this page without a recorded outcome.
    pub calls: Vec<UnresolvedCall>,
    /// Value of the `after` parameter for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Call that must not run twice and has no recorded outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresolvedCall {
    /// Client account.
    pub account: AccountName,
    /// Request id.
    pub request: RequestId,
    /// Router process that recorded the call.
    pub router: RouterId,
    /// Whether the answering router knows that process, which may still be running the call.
    pub router_is_known: bool,
    /// Whether that process has recorded that the outcome is unknown.
    pub outcome_unknown: bool,
}
