//! States that only an operator can resolve.

use serde::{Deserialize, Serialize};
use types::{AccountName, RequestId, RouterId, Tokens, UnixMillis};

/// Answer to `GET /admin/v1/in-doubt`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtList {
    /// Grants of this page.
    pub grants: Vec<InDoubtGrant>,
    /// What to pass as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Tokens granted to a router that is gone: nobody can tell whether they are spent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtGrant {
    /// Client account.
    pub account: AccountName,
    /// Router process.
    pub router: RouterId,
    /// Tokens.
    pub tokens: Tokens,
    /// Since when, in milliseconds after 1970-01-01 UTC, where it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub since: Option<UnixMillis>,
}

/// Answer to `GET /admin/v1/outcome-unknown`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutcomeUnknownList {
    /// Calls of this page.
    pub calls: Vec<UnresolvedCall>,
    /// What to pass as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// A call that must not run twice and has no recorded outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresolvedCall {
    /// Client account.
    pub account: AccountName,
    /// Request id.
    pub request: RequestId,
    /// Router process that recorded it.
    pub router: RouterId,
    /// Whether that process is known to the answering router, and may be running the
    /// call now.
    pub router_is_known: bool,
    /// Whether the router has said that the outcome is unknown.
    pub outcome_unknown: bool,
}
