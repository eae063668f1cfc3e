//! Names of all metrics.

/// Counter of requests that arrived, by `interface`.
pub const REQUESTS_TOTAL: &str = "auburncrank_requests_total";

/// Counter of refused or failed requests, by `code` of the error table.
pub const REFUSALS_TOTAL: &str = "auburncrank_refusals_total";

/// Counter of retries inside the fleet, by `reason`.
pub const RETRIES_TOTAL: &str = "auburncrank_retries_total";

/// Counter of billed tokens.
pub const BILLED_TOKENS_TOTAL: &str = "auburncrank_billed_tokens_total";

/// Counter of runs that were not billed, by `reason`.
pub const UNBILLED_RUNS_TOTAL: &str = "auburncrank_unbilled_runs_total";

/// Histogram of the time to the first token, in seconds.
pub const FIRST_TOKEN_SECONDS: &str = "auburncrank_first_token_seconds";

/// Histogram of the time of whole requests, in seconds.
pub const REQUEST_SECONDS: &str = "auburncrank_request_seconds";

/// Gauge of requests in progress.
pub const REQUESTS_IN_PROGRESS: &str = "auburncrank_requests_in_progress";

/// Gauge of the configuration version in force.
pub const CONFIG_VERSION: &str = "auburncrank_config_version";

/// Counter of messages to other routers that were dropped, by `reason`.
pub const PEER_MESSAGES_DROPPED_TOTAL: &str = "auburncrank_peer_messages_dropped_total";

/// Counter of messages that were handed to connections to other routers, by `kind`.
pub const PEER_MESSAGES_SENT_TOTAL: &str = "auburncrank_peer_messages_sent_total";

/// Counter of messages from other routers that could not be read.
pub const PEER_MESSAGES_MALFORMED_TOTAL: &str = "auburncrank_peer_messages_malformed_total";

/// Gauge of the routers known to this one, itself included, by `state`.
pub const MEMBERS: &str = "auburncrank_members";

/// Counter of members whose state changed, as this router sees it, by new `state`.
pub const MEMBER_CHANGES_TOTAL: &str = "auburncrank_member_changes_total";

/// Gauge that is 1 where another process with a higher incarnation uses this router's name.
pub const ROUTER_SUPERSEDED: &str = "auburncrank_router_superseded";
