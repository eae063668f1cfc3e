//! Chooses endpoints for a request, sends it, and decides whether it is retried.

use std::{sync::Arc, time::Duration};

use errors::{Error, ErrorKind};
use rand::Rng as _;
use tokio::sync::Notify;
use types::Timestamp;
use utils::jitter;

use super::{
    continuation::{begins_stream, no_version_error, record_origin, required_version},
    exchange::{
        self, AttemptFailure, AttemptOptions, EndpointResponse, FailedAttempt, OutgoingRequest,
        PlacementGuard,
    },
    replacement::{find_replacement, record_silence},
    run::ActiveRequest,
    suspicion::{check_before_sending, check_for_crash, suspect_of},
    waiting::{has_to_wait, is_ordered, record_direct_place, wait_for_turn},
};
use crate::{
    context::RelayContext,
    endpoints::{Choice, LimitedWait, Placement, PlacementRequest},
    peers::ask_for_admission,
    ports::Forwarding,
    units::millis,
};

/// The latency target divided by this is the longest wait for an endpoint with capacity.
const PLACEMENT_WAIT_DIVISOR: u32 = 8;

/// Share of an endpoint's capacity that requests with a nonzero priority may fill, from 0 to 1.
const LOW_PRIORITY_FILL_SHARE: f64 = 0.9;

/// Number of refused or unsent attempts after which a request is not sent again.
const REFUSALS_MAX: u32 = 4;

/// Mean retry delay returned to callers whose request could not be completed: about the time in
/// which running requests end and free capacity.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Mean retry delay if all endpoints of the service are in emptied failure domains, where operators leave
/// them for seconds at least.
const EMPTIED_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Minimum time left before the deadline for a request to be sent.
const TIME_LEFT_MIN: Duration = Duration::from_millis(5);

/// Result of one attempt.
enum AttemptEnd {
    /// The endpoint answered.
    Answered(Box<EndpointResponse>),
    /// The attempt failed.
    Failed(AttemptFailure),
    /// The endpoint was silent for too long, and another run was granted.
    Replaced(Box<PlacementGuard>),
}

/// Returns an error that tells the caller to retry after a delay around `mean`, with jitter.
pub(super) fn retryable_error(
    request: &ActiveRequest,
    kind: ErrorKind,
    message: &str,
    mean: Duration,
) -> Error {
    let delay = jitter(mean, &mut request.cx.lock_rng());
    let error = Error::new(kind, message).with_retry_delay(delay);
    if request.may_have_run { error.after_earlier_attempt() } else { error }
}

/// Result of trying to place a request once.
pub(super) enum PlacementTry {
    /// The request was placed.
    Placed(Box<Placement>),
    /// All endpoints that may get it are at capacity.
    Full,
    /// It may be placed later: from the moment at which the endpoints' statements allow it, if one is
    /// known, or once the list of endpoints has been read.
    Later(Option<Timestamp>),
    /// The store does not name the versions of the endpoints yet.
    Unnamed,
}

/// Places the request on an endpoint; waits for a limited time if all endpoints are full, or if
/// the rate limits or pauses that they state allow no request.
///
/// # Errors
/// Returns an error if no endpoint is available, if all stay full, or as soon as it is known that
/// none of them can take the request in time.
pub(super) async fn find_placement(request: &ActiveRequest) -> Result<PlacementGuard, Error> {
    if has_to_wait(request) {
        return wait_for_turn(request).await;
    }
    let wait_until = request.cx.now() + request.route.latency_target / PLACEMENT_WAIT_DIVISOR;
    loop {
        let mut wake_at = wait_until;
        let mut is_unnamed = false;
        match try_place(request, wait_until)? {
            PlacementTry::Placed(placement) => {
                let guard = PlacementGuard::new(request.cx.clone(), *placement);
                if let Some(guard) = admit(request, guard).await {
                    record_direct_place(request);
                    return Ok(guard);
                }
                if request.cx.now() < wait_until {
                    continue;
                }
            }
            PlacementTry::Full if is_ordered(request) => return wait_for_turn(request).await,
            PlacementTry::Full => {}
            PlacementTry::Later(next_at) => {
                wake_at = next_at.map_or(wait_until, |it| it.min(wait_until));
            }
            PlacementTry::Unnamed => is_unnamed = true,
        }
        let freed = request.cx.capacity_freed.notified();
        let waited = tokio::time::timeout_at(request.cx.instant(wake_at), freed).await;
        if waited.is_err() && request.cx.now() >= wait_until {
            if is_unnamed {
                let message = "the versions of the endpoints are not named in the store yet";
                return Err(retryable_error(request, ErrorKind::NoEndpoint, message, RETRY_DELAY));
            }
            let message = "all endpoints of the service are at capacity";
            return Err(retryable_error(request, ErrorKind::Overloaded, message, RETRY_DELAY));
        }
    }
}

/// Tries to place the request on an endpoint. `wait_until` is when it stops waiting.
///
/// # Errors
/// Returns an error if no endpoint is available, or as soon as it is known that none of them can
/// take the request in time.
pub(super) fn try_place(
    request: &ActiveRequest,
    wait_until: Timestamp,
) -> Result<PlacementTry, Error> {
    match choose_endpoint(request, None) {
        Choice::Placed(placement) => Ok(PlacementTry::Placed(Box::new(placement))),
        // The list of endpoints has not been read since the process started; wait for it.
        Choice::NoEndpoint if !request.cx.lock_endpoints().has_list() => {
            Ok(PlacementTry::Later(None))
        }
        Choice::NoEndpoint => {
            let message = "no endpoint of the service is available";
            Err(retryable_error(request, ErrorKind::NoEndpoint, message, RETRY_DELAY))
        }
        Choice::Emptied => {
            let message = "all endpoints of the service are in emptied failure domains";
            Err(retryable_error(request, ErrorKind::NoEndpoint, message, EMPTIED_RETRY_DELAY))
        }
        Choice::Unreached => {
            let message = "no endpoint of the service can be reached";
            Err(retryable_error(request, ErrorKind::NoEndpoint, message, RETRY_DELAY))
        }
        Choice::NoVersion => Err(no_version_error(request)),
        Choice::Full => Ok(PlacementTry::Full),
        Choice::Unnamed => Ok(PlacementTry::Unnamed),
        Choice::Limited(limited) => {
            let is_in_time = limited.next_at.is_some_and(|it| it <= wait_until);
            if !is_in_time && !limited.is_any_full {
                return Err(limit_error(request, limited));
            }
            Ok(PlacementTry::Later(limited.next_at))
        }
    }
}

/// Asks the owner of a brittle endpoint to admit the request there. Returns `None` if it does not.
pub(super) async fn admit(
    request: &ActiveRequest,
    mut guard: PlacementGuard,
) -> Option<PlacementGuard> {
    if guard.placement.is_brittle {
        let ticket = ask_for_admission(&request.cx, &guard.placement, fill_share(request)).await?;
        guard.ticket = Some(ticket);
    }
    Some(guard)
}

/// Returns the share of an endpoint's capacity that requests of this priority may fill.
fn fill_share(request: &ActiveRequest) -> f64 {
    if request.priority() == 0 { 1.0 } else { LOW_PRIORITY_FILL_SHARE }
}

/// Returns the error of a request that the endpoints' statements do not allow in time. The
/// retry delay is at least the time until the next request is allowed, and differs between
/// callers, so that they do not return together.
fn limit_error(request: &ActiveRequest, limited: LimitedWait) -> Error {
    let message = "the endpoints of the service state that they accept no more requests now";
    let wait = limited.next_at.map_or(RETRY_DELAY, |it| it.since(request.cx.now()));
    let spread = request.cx.lock_rng().random_range(1.0..2.0);
    let error = Error::new(ErrorKind::Overloaded, message).with_retry_delay(wait.mul_f64(spread));
    if request.may_have_run { error.after_earlier_attempt() } else { error }
}

/// Chooses an endpoint; `silent` is one that the request is to leave.
pub(super) fn choose_endpoint(request: &ActiveRequest, silent: Option<&Arc<str>>) -> Choice {
    let failed_endpoints: Vec<Arc<str>> =
        request.failed_endpoints.iter().chain(silent).cloned().collect();
    let routers = request.cx.lock_roster().count();
    let placement_request = PlacementRequest {
        service: &request.service,
        spec: request.in_force.state.services.get(&request.service),
        tokens: request.head.tokens,
        parts: &request.head.parts,
        failed_endpoints: &failed_endpoints,
        failure_domain: &request.cx.settings.failure_domain,
        routers,
        begins_stream: begins_stream(request),
        version: required_version(request),
        is_stream: request.route.retry_policy.is_stream(),
        suspect: suspect_of(request),
        fill_share: fill_share(request),
    };
    let now = request.cx.now();
    request.cx.lock_endpoints().place(&placement_request, now, &mut request.cx.lock_rng())
}

/// Sends the request to endpoints until one answers. `last_event` is the id of the last event
/// that the caller received, `granted` the place of a run that was granted before.
///
/// # Errors
/// Returns an error if no endpoint answered and the request may not be retried.
pub(super) async fn send_until_answered(
    request: &mut ActiveRequest,
    last_event: Option<u64>,
    mut granted: Option<PlacementGuard>,
) -> Result<EndpointResponse, Error> {
    let mut refusals = 0;
    loop {
        if request.time_left() < TIME_LEFT_MIN {
            return Err(deadline_error(request));
        }
        let guard = match granted.take() {
            Some(guard) => guard,
            None => find_placement(request).await?,
        };
        check_before_sending(request)?;
        record_origin(request, &guard.placement).await;
        let failure = match send_attempt(request, guard, last_event).await {
            AttemptEnd::Answered(answer) => return Ok(*answer),
            AttemptEnd::Failed(failure) => failure,
            AttemptEnd::Replaced(guard) => {
                metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => "silent").increment(1);
                granted = Some(*guard);
                continue;
            }
        };
        if !failure.request_may_have_run() {
            refusals += 1;
        }
        if !may_send_again(request, &failure, refusals) {
            return Err(final_error(request, &failure));
        }
        metrics::counter!(telemetry::RETRIES_TOTAL, "reason" => failure.label()).increment(1);
        log::info!(request:% = request.head.id, reason = failure.label(), attempts = request.attempts; "request sent again");
    }
}

async fn send_attempt(
    request: &mut ActiveRequest,
    guard: PlacementGuard,
    last_event: Option<u64>,
) -> AttemptEnd {
    let cx = request.cx.clone();
    let endpoint = guard.placement.endpoint.clone();
    request.endpoint = Some(endpoint.clone());
    let forwarding = Forwarding {
        endpoint: &endpoint,
        account: request.account.as_ref().map(|it| &*it.name),
        time_left: request.time_left(),
        last_event,
        priority: Some(request.priority()),
    };
    let headers = cx.dialect.forward_headers(&request.outgoing.headers, &forwarding);
    log::info!(request:% = request.head.id, endpoint:% = endpoint, version:% = guard.placement.version, wait_ms:% = guard.placement.wait_ms.round(), time_left_ms = millis(request.time_left()); "request sent");
    if request.delivered_attempts == 0 {
        cx.lock_retries().record_request(&request.service, cx.now());
    }
    // The future may be dropped while the request is being sent, when the caller disconnects.
    // The request counts as sent from here on.
    let before = (request.may_have_run, request.delivered_attempts);
    request.may_have_run = true;
    request.delivered_attempts += 1;
    request.attempt_events = 0;
    let outgoing: &OutgoingRequest = &request.outgoing;
    let began_at = cx.now();
    request.sent_at = Some(began_at);
    let sending = Notify::new();
    let options = AttemptOptions {
        request_id: &request.head.id,
        headers,
        deadline: request.deadline,
        needs_new_connection: request.failed_endpoints.contains(&endpoint),
        sending: &sending,
    };
    let sent = tokio::select! {
        biased;
        sent = exchange::send(&cx, guard, outgoing, options) => sent,
        // Dropping the other future closes the connection and so ends the run there.
        guard = async {
            // The endpoint is not silent while a connection is being opened.
            sending.notified().await;
            find_replacement(request, &endpoint, request.attempts + 1, request.cx.now()).await
        } => {
            request.attempts += 1;
            record_silence(request, &endpoint);
            return AttemptEnd::Replaced(Box::new(guard));
        }
    };
    match sent {
        Ok(answer) => {
            request.attempts += 1;
            AttemptEnd::Answered(Box::new(answer))
        }
        Err(failed) => {
            let FailedAttempt { failure, guard, connection } = *failed;
            let after_ms = millis(cx.now().since(began_at));
            log::info!(request:% = request.head.id, endpoint:% = guard.placement.endpoint, failure = failure.label(), connection, after_ms; "attempt failed: {failure:?}");
            if !failure.request_arrived() {
                request.delivered_attempts = before.1;
            }
            request.may_have_run = before.0 || failure.request_may_have_run();
            record_failure(request, &failure, guard).await;
            AttemptEnd::Failed(failure)
        }
    }
}

async fn record_failure(
    request: &mut ActiveRequest,
    failure: &AttemptFailure,
    mut guard: PlacementGuard,
) {
    let cx = request.cx.clone();
    let endpoint = guard.placement.endpoint.clone();
    metrics::counter!(telemetry::ATTEMPTS_TOTAL, "outcome" => failure.label()).increment(1);
    request.failed_endpoints.push(endpoint.clone());
    let now = cx.now();
    if *failure == AttemptFailure::Refused && cx.lock_endpoints().is_brittle(&endpoint, now) {
        record_brittle_refusal(&cx, &mut guard).await;
    }
    match failure {
        AttemptFailure::NotSent(_) => cx.lock_endpoints().record_unreached(&endpoint, now),
        AttemptFailure::Refused => cx.lock_endpoints().record_unreachable(&endpoint, now),
        // Says nothing about the endpoint's health.
        AttemptFailure::NoConnection | AttemptFailure::Left => {}
        AttemptFailure::Misdirected => cx.lock_endpoints().remove_replaced(&endpoint, now),
        AttemptFailure::TimedOut => {
            request.attempts += 1;
            cx.lock_endpoints().record_outcome(&endpoint, true, now);
        }
        AttemptFailure::Lost(_) => {
            request.attempts += 1;
            cx.lock_endpoints().record_outcome(&endpoint, true, now);
            check_for_crash(request, &guard).await;
        }
    }
}

/// Keeps all routers from sending to a brittle endpoint for a while after it refused a request.
async fn record_brittle_refusal(cx: &RelayContext, guard: &mut PlacementGuard) {
    metrics::counter!(telemetry::BRITTLE_REFUSALS_TOTAL).increment(1);
    if let Some(mut ticket) = guard.ticket.take() {
        ticket.record_refusal();
    }
    let endpoint = &guard.placement.endpoint;
    if cx.lock_endpoints().record_brittle_refusal(endpoint, cx.now()) {
        cx.gossip.send_status(cx, false).await;
    }
}

/// Reports whether the request is sent to another endpoint after a failure. If so, and if any
/// attempt so far arrived at an endpoint, takes a retry from the window.
fn may_send_again(request: &ActiveRequest, failure: &AttemptFailure, refusals: u32) -> bool {
    let may_repeat = !request.may_have_run || request.route.retry_policy.may_run_again();
    if request.time_left() < TIME_LEFT_MIN {
        return false;
    }
    if !may_repeat || request.attempts >= request.route.max_attempts || refusals >= REFUSALS_MAX {
        return false;
    }
    if !failure.request_arrived() && request.delivered_attempts == 0 {
        return true;
    }
    try_take_retry(request)
}

/// Reports whether a retry is left in this router's retry window.
pub(super) fn has_retry(request: &ActiveRequest) -> bool {
    let routers = request.cx.lock_roster().count();
    request.cx.lock_retries().has_retry(&request.service, routers, request.cx.now())
}

/// Takes a retry from this router's retry window; returns `false` if none is left.
pub(super) fn try_take_retry(request: &ActiveRequest) -> bool {
    let routers = request.cx.lock_roster().count();
    let is_allowed =
        request.cx.lock_retries().try_take_retry(&request.service, routers, request.cx.now());
    if !is_allowed {
        metrics::counter!(telemetry::RETRIES_DENIED_TOTAL, "reason" => "window").increment(1);
        log::info!(request:% = request.head.id, service:% = request.service, routers; "not sent again: no retries left in the window");
    }
    is_allowed
}

fn deadline_error(request: &ActiveRequest) -> Error {
    let kind = if request.may_have_run {
        ErrorKind::DeadlineWhileRunning
    } else {
        ErrorKind::DeadlineBeforeRun
    };
    retryable_error(request, kind, "the request deadline has passed", RETRY_DELAY)
}

fn final_error(request: &ActiveRequest, failure: &AttemptFailure) -> Error {
    if request.time_left() < TIME_LEFT_MIN {
        return deadline_error(request);
    }
    if !request.may_have_run {
        let kind = match failure {
            AttemptFailure::Refused => ErrorKind::Overloaded,
            _ => ErrorKind::NoEndpoint,
        };
        let delay_factor = request.cx.lock_rng().random_range(0.3..1.0);
        return retryable_error(
            request,
            kind,
            "no endpoint accepted the request",
            RETRY_DELAY.mul_f64(delay_factor),
        );
    }
    let kind = match (failure, request.route.retry_policy.may_run_again()) {
        (AttemptFailure::TimedOut, _) => ErrorKind::DeadlineWhileRunning,
        (_, true) => ErrorKind::AttemptsFailed,
        (_, false) => ErrorKind::OutcomeUnknown,
    };
    retryable_error(request, kind, "the endpoint returned no usable answer", RETRY_DELAY)
}
