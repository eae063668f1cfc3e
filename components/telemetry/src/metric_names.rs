//! Names of all metrics. `docs/reference/metrics.md` lists the same names.

/// Counter of received requests, by `interface`.
pub const REQUESTS_TOTAL: &str = "auburncrank_requests_total";

/// Counter of refused or failed requests, by error `code`.
pub const REFUSALS_TOTAL: &str = "auburncrank_refusals_total";

/// Counter of retries inside the fleet, by `reason`.
pub const RETRIES_TOTAL: &str = "auburncrank_retries_total";

/// Counter of billed tokens.
pub const BILLED_TOKENS_TOTAL: &str = "auburncrank_billed_tokens_total";

/// Counter of runs that were not billed, by `reason`.
pub const UNBILLED_RUNS_TOTAL: &str = "auburncrank_unbilled_runs_total";

/// Counter of calls answered with the result of an earlier or running attempt, by `source`:
/// `this_router`, `other_router`, `object_store` or `intent_row`.
pub const JOINED_REQUESTS_TOTAL: &str = "auburncrank_joined_requests_total";

/// Counter of requests that ran although the home router of their id was unreachable.
pub const RUNS_WITHOUT_HOME_TOTAL: &str = "auburncrank_runs_without_home_total";

/// Histogram of the time to the first token, in seconds.
pub const FIRST_TOKEN_SECONDS: &str = "auburncrank_first_token_seconds";

/// Histogram of the total duration of requests, in seconds.
pub const REQUEST_SECONDS: &str = "auburncrank_request_seconds";

/// Gauge of requests in progress.
pub const REQUESTS_IN_PROGRESS: &str = "auburncrank_requests_in_progress";

/// Gauge of the configuration version in force.
pub const CONFIG_VERSION: &str = "auburncrank_config_version";

/// Gauge of the newest configuration version that another router has reported in force.
pub const CONFIG_NEWEST_PEER_VERSION: &str = "auburncrank_config_newest_peer_version";

/// Counter of reads of the desired state that received data, by `result`: `applied`,
/// `unchanged` or `failed`.
pub const CONFIG_READS_TOTAL: &str = "auburncrank_config_reads_total";

/// Counter of bytes received in reads of the desired state.
pub const CONFIG_READ_BYTES_TOTAL: &str = "auburncrank_config_read_bytes_total";

/// Counter of requests refused because of the account's budget, by `reason`.
pub const BUDGET_REFUSALS_TOTAL: &str = "auburncrank_budget_refusals_total";

/// Counter of table commits of grants and bills, by `outcome`.
pub const BUDGET_COMMITS_TOTAL: &str = "auburncrank_budget_commits_total";

/// Gauge of the unspent tokens in this router's grant, by `account`.
pub const GRANTED_TOKENS: &str = "auburncrank_granted_tokens";

/// Gauge of tokens reserved by requests on this router, by `account`.
pub const RESERVED_TOKENS: &str = "auburncrank_reserved_tokens";

/// Gauge of billed tokens that are not yet in the table, by `account`.
pub const UNSETTLED_TOKENS: &str = "auburncrank_unsettled_tokens";

/// Gauge of requests on this router that wait for tokens, by `account`.
pub const BUDGET_WAITING_REQUESTS: &str = "auburncrank_budget_waiting_requests";

/// Gauge of tokens in the grants of dead routers, by `account`.
pub const IN_DOUBT_TOKENS: &str = "auburncrank_in_doubt_tokens";

/// Gauge of the time since the table last confirmed that no newer configuration is accepted,
/// in seconds; infinite if it never has.
pub const CONFIG_CONFIRMED_AGE_SECONDS: &str = "auburncrank_config_confirmed_age_seconds";

/// Gauge that is 1 if the table has recently confirmed that no newer configuration is
/// accepted, and 0 if the router cannot tell whether its version is current.
pub const CONFIG_CONFIRMED: &str = "auburncrank_config_confirmed";

/// Counter of configurations exchanged with other routers, by `result`.
pub const CONFIG_SPREAD_TOTAL: &str = "auburncrank_config_spread_total";

/// Counter of administration calls, by `result`: `ok` or an error code.
pub const ADMIN_CALLS_TOTAL: &str = "auburncrank_admin_calls_total";

/// Counter of orders to engines, by `kind` and `outcome`.
pub const ENGINE_ORDERS_TOTAL: &str = "auburncrank_engine_orders_total";

/// Gauge of the fencing number of the controller lease; zero if this router does not hold
/// the lease.
pub const CONTROLLER_FENCING_NUMBER: &str = "auburncrank_controller_fencing_number";
/// Counter of retries denied by the retry budget, by `reason`.
pub const RETRIES_DENIED_TOTAL: &str = "auburncrank_retries_denied_total";

/// Gauge of relayed requests that wait for a place at an endpoint, by `service`.
pub const WAITING_REQUESTS: &str = "auburncrank_waiting_requests";

/// Counter of relayed requests that began to wait for a place, by `level` of urgency.
pub const WAITED_TOTAL: &str = "auburncrank_waited_total";

/// Counter of relayed requests that were refused while they waited for a place, by `level`.
pub const WAITING_REFUSALS_TOTAL: &str = "auburncrank_waiting_refusals_total";

/// Counter of finished attempts on endpoints, by `outcome`.
pub const ATTEMPTS_TOTAL: &str = "auburncrank_attempts_total";

/// Gauge of endpoints that this router uses, by `state`.
pub const ENDPOINTS: &str = "auburncrank_endpoints";

/// Gauge of requests that wait for an endpoint.
pub const QUEUED_REQUESTS: &str = "auburncrank_queued_requests";

/// Histogram of the time that requests wait for an endpoint, in seconds.
pub const QUEUE_SECONDS: &str = "auburncrank_queue_seconds";

/// Gauge of request contents in quarantine because they crashed endpoints.
pub const QUARANTINED_CONTENTS: &str = "auburncrank_quarantined_contents";

/// Counter of endpoints lost while they ran request content, by `alone`: `yes` if the
/// content was the only one on the endpoint at this or an earlier loss, otherwise `no`.
pub const ENDPOINT_LOSSES_TOTAL: &str = "auburncrank_endpoint_losses_total";

/// Counter of polls of endpoints and of the host list, by `source` and `result`.
pub const POLLS_TOTAL: &str = "auburncrank_polls_total";

/// Counter of dropped messages to other routers, by `reason`.
pub const PEER_MESSAGES_DROPPED_TOTAL: &str = "auburncrank_peer_messages_dropped_total";

/// Counter of messages passed to the connections to other routers, by `kind`.
pub const PEER_MESSAGES_SENT_TOTAL: &str = "auburncrank_peer_messages_sent_total";

/// Counter of messages from other routers that could not be decoded.
pub const PEER_MESSAGES_MALFORMED_TOTAL: &str = "auburncrank_peer_messages_malformed_total";

/// Gauge of the routers known to this one, itself included, by `state`.
pub const MEMBERS: &str = "auburncrank_members";

/// Counter of changes in the state of members, as seen by this router, by new `state`.
pub const MEMBER_CHANGES_TOTAL: &str = "auburncrank_member_changes_total";

/// Counter of requests for router addresses that were answered.
pub const ADDRESS_ANSWERS_TOTAL: &str = "auburncrank_address_answers_total";

/// Counter of requests refused because this router was full, by `bound`, which is always `link` so far.
pub const SHED_REQUESTS_TOTAL: &str = "auburncrank_shed_requests_total";

/// Gauge of the share of the host's scarcest resource that is in use.
pub const ROOM_USED_SHARE: &str = "auburncrank_room_used_share";

/// Gauge of the time for which what arrives waits before it is handled, in seconds.
pub const ARRIVAL_DELAY_SECONDS: &str = "auburncrank_arrival_delay_seconds";

/// Gauge that is 1 if another process with a higher incarnation uses this router's name.
pub const ROUTER_SUPERSEDED: &str = "auburncrank_router_superseded";

/// Gauge of log lines dropped because their reader was too slow.
pub const LOG_LINES_DROPPED: &str = "auburncrank_log_lines_dropped";
/// Counter of the tokens that a router has received and given away, by `account` and `kind`: `drawn`,
/// `borrowed` or `taken_over`; `spent`, `lent` or `returned`.
pub const ACCOUNT_TOKENS_TOTAL: &str = "auburncrank_account_tokens_total";

/// Counter of tokens lent between routers, by `direction`: `lent` or `borrowed`.
pub const LOANED_TOKENS_TOTAL: &str = "auburncrank_loaned_tokens_total";
/// Gauge of halted rollouts of model versions, set by the holder of the controller lease.
pub const HALTED_ROLLOUTS: &str = "auburncrank_halted_rollouts";

/// Counter of connections to endpoints that this router tried to open, by `outcome`: `opened`,
/// `refused`, `timed_out` or `failed`.
pub const ENDPOINT_CONNECTS_TOTAL: &str = "auburncrank_endpoint_connects_total";

/// Gauge of the services whose endpoints this router reaches only through other routers.
pub const CUT_OFF_SERVICES: &str = "auburncrank_cut_off_services";

/// Counter of tunnels that this router asked others for, by `outcome`: `opened`, `refused` or
/// `unreachable` for the endpoint, `peer_unable` or `peer_failed` for the other router.
pub const TUNNELS_ASKED_TOTAL: &str = "auburncrank_tunnels_asked_total";

/// Counter of tunnels that other routers asked this one for, by `outcome`.
pub const TUNNELS_SERVED_TOTAL: &str = "auburncrank_tunnels_served_total";

/// Gauge of the tunnels that lead through this router.
pub const TUNNELS_OPEN: &str = "auburncrank_tunnels_open";

/// Gauge of the endpoints that state a rate limit.
pub const RATE_LIMITED_ENDPOINTS: &str = "auburncrank_rate_limited_endpoints";

/// Counter of requests placed on endpoints that state a rate limit.
pub const LIMITED_REQUESTS_TOTAL: &str = "auburncrank_limited_requests_total";

/// Gauge of the endpoints that state that they are brittle.
pub const BRITTLE_ENDPOINTS: &str = "auburncrank_brittle_endpoints";

/// Gauge of the endpoints whose usual speed differs from the mean of their service.
pub const UNEVEN_ENDPOINTS: &str = "auburncrank_uneven_endpoints";

/// Counter of requests that brittle endpoints refused.
pub const BRITTLE_REFUSALS_TOTAL: &str = "auburncrank_brittle_refusals_total";

/// Counter of this router's requests to be admitted to brittle endpoints, by `outcome`: `admitted`,
/// `full`, `closed` after a refusal, or `unanswered`.
pub const ADMISSIONS_TOTAL: &str = "auburncrank_admissions_total";

/// Gauge of failure domains that are emptied: their endpoints get nothing new.
pub const EMPTIED_DOMAINS: &str = "auburncrank_emptied_domains";

/// Gauge of endpoints that are cold: they have just started and take few requests a second.
pub const COLD_ENDPOINTS: &str = "auburncrank_cold_endpoints";

/// Gauge of the rate that this router may send to the cold endpoints that it owns, in requests per second.
pub const COLD_ADMITTED_PER_SECOND: &str = "auburncrank_cold_admitted_per_second";

/// Counter of requests that this router sent to cold endpoints.
pub const COLD_REQUESTS_TOTAL: &str = "auburncrank_cold_requests_total";

/// Counter of attempts to place a request that found no endpoint because cold ones take no more yet.
pub const COLD_WAITS_TOTAL: &str = "auburncrank_cold_waits_total";

/// Counter of changes of the store's era: the store came back from an older copy.
pub const STORE_ERA_CHANGES_TOTAL: &str = "auburncrank_store_era_changes_total";

/// Gauge that is one while no tokens are drawn because the store came back from an older copy.
pub const ALLOWANCES_RECOVERING: &str = "auburncrank_allowances_recovering";

/// Counter of malformed statements in endpoints' and the store's answers.
pub const MALFORMED_STATEMENTS_TOTAL: &str = "auburncrank_malformed_statements_total";

/// Counter of pauses that endpoints asked this router for.
pub const ENDPOINT_PAUSES_TOTAL: &str = "auburncrank_endpoint_pauses_total";

/// Counter of requests that were cut off by the crash of their endpoint.
pub const ENDPOINT_CRASHES_TOTAL: &str = "auburncrank_endpoint_crashes_total";

/// Gauge of prompt parts and contents that were at crashes of endpoints, by `state`: `suspect` or
/// `condemned`.
pub const SUSPECT_CONTENTS: &str = "auburncrank_suspect_contents";

/// Counter of requests by which callers take up streams that broke.
pub const STREAMS_TAKEN_UP_TOTAL: &str = "auburncrank_streams_taken_up_total";

/// Counter of streams that could not go on, by `reason`: `unknown` if it is not known which version
/// began them, `no_endpoint` if that version has no endpoint left, `route` if the caller's route does
/// not lead to its service.
pub const STREAMS_NOT_TAKEN_UP_TOTAL: &str = "auburncrank_streams_not_taken_up_total";

/// Counter of answers that this router ended before their end, by `reason`: `deadline` or
/// `broken`.
pub const ANSWERS_CUT_TOTAL: &str = "auburncrank_answers_cut_total";

/// Counter of request bodies that were not held until their end for want of memory, by `reason`: `given_up`
/// for those of later requests, or `no_memory` if no other body could be given up.
pub const BODIES_LOST_TOTAL: &str = "auburncrank_bodies_lost_total";

/// Counter of clients' connections that a limit closed, by `listener` and `reason`: `connections` or `memory`
/// if there were too many, `descriptors` if none were left, or `head_timeout` if the head of a request did not
/// arrive in time.
pub const CONNECTIONS_CLOSED_TOTAL: &str = "auburncrank_connections_closed_total";

/// Counter of failures to accept a connection, for instance for want of descriptors.
pub const ACCEPT_FAILURES_TOTAL: &str = "auburncrank_accept_failures_total";

/// Gauge of clients' open connections, by `listener`.
pub const CONNECTIONS_OPEN: &str = "auburncrank_connections_open";

/// Gauge of the estimated memory of clients' connections without bodies, which is compared with the limit, in
/// bytes, by `listener`.
pub const CONNECTION_BYTES: &str = "auburncrank_connection_bytes";

/// Gauge of the memory that the bodies of requests take, in bytes.
pub const BODY_BYTES: &str = "auburncrank_body_bytes";

/// Counter of callers' connections that did not end between two requests by the caller, by
/// `reason`: `idle`, `unacknowledged` or `error`.
pub const CALLER_CONNECTIONS_ENDED_TOTAL: &str = "auburncrank_caller_connections_ended_total";
