//! Handles a caller's request: reads it, authorizes it, checks its content, reserves tokens and
//! relays it.

use std::{
    convert::Infallible,
    sync::{Arc, OnceLock, atomic::Ordering},
    time::Duration,
};

use errors::{Error, ErrorKind};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::body::Incoming;
use inbound::{AnswerBody, HeldBody, RequestInProgress, Requests};
use types::Timestamp;
use utils::jitter;

use super::{
    body::ResponseBody,
    continuation::prepare_take_up,
    exchange::OutgoingRequest,
    framing::{check_framing, head_bytes},
    plain::relay_plain,
    request_body::{discard_body, read_body},
    run::{ActiveRequest, CALLER_LEFT},
    stream_run::relay_stream,
    suspicion::admit_content,
    tokens::reserve_tokens,
};
use crate::{
    context::{InForce, RelayContext},
    model::{Account, RequestHead, Route, ServiceSpec},
    units::millis,
};

/// Time for which a request waits for the first desired state after the process started: enough for
/// a few calls to the store.
const STARTUP_WAIT: Duration = Duration::from_millis(60);

/// Mean retry delay returned to callers while the router has no desired state.
const STARTUP_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Mean retry delay returned to callers that another router can serve at once.
const FULL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Handles one request. Errors are turned into answers here.
pub(super) async fn handle(
    cx: Arc<RelayContext>,
    requests: Requests,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody<ResponseBody, RequestInProgress>>, Infallible> {
    let progress = requests.begin();
    let (head, body) = req.into_parts();
    let read = cx.dialect.read_request(&head);
    let id = read.as_ref().ok().map(|it| it.id.clone());
    let result = match read {
        Ok(request_head) => serve(&cx, head, request_head, body, &progress).await,
        Err(error) => Err(error),
    };
    let mut res = result.unwrap_or_else(|error| {
        metrics::counter!(telemetry::REFUSALS_TOTAL, "code" => error.kind().code()).increment(1);
        log::info!(request:% = id.as_deref().unwrap_or(""), reason = error.kind().code(), ran:? = error.ran(), return_ms = millis(error.retry_delay().unwrap_or_default()); "request refused: {error}");
        let res = cx.dialect.write_error(&error, id.as_deref());
        res.map(|bytes| ResponseBody::Whole(Some(bytes)))
    });
    let is_closing = cx.is_leaving.load(Ordering::Relaxed) || cx.is_crowded.load(Ordering::Relaxed);
    if is_closing || cx.lock_room().refuses(u32::MAX).is_some() {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res.map(|it| AnswerBody::new(it, progress)))
}

async fn serve(
    cx: &Arc<RelayContext>,
    head: http::request::Parts,
    request_head: RequestHead,
    body: Incoming,
    progress: &RequestInProgress,
) -> Result<Response<ResponseBody>, Error> {
    let received_at = cx.now();
    metrics::counter!(telemetry::REQUESTS_TOTAL, "interface" => "relay").increment(1);
    check_framing(&head.headers)?;
    let Some(in_force) = wait_for_desired_state(cx).await else {
        let delay = jitter(STARTUP_RETRY_DELAY, &mut cx.lock_rng());
        let message = "the router has not read its desired state yet";
        return Err(Error::new(ErrorKind::StoreUnavailable, message).with_retry_delay(delay));
    };
    let limits = in_force.state.limits;
    if head_bytes(&head) > limits.head_max_bytes {
        return Err(Error::new(ErrorKind::HeadersTooLarge, "the request headers exceed the limit"));
    }
    if let Err(refusal) = authorize(in_force.clone(), &request_head, head.uri.path()) {
        discard_body(cx, body, limits.body_max_bytes).await?;
        return Err(refusal_in_force(cx, refusal, &request_head, head.uri.path()));
    }
    // Only callers that are known count for the load that this router reports.
    cx.record_arrival();
    progress.accept();
    let body = read_body(cx, body, limits.body_max_bytes).await?;
    progress.serve();
    if !body.bytes().is_empty() {
        cx.lock_room().bodies.record(cx.now().since(received_at));
    }
    // The desired state may have changed while the body arrived.
    let in_force = cx.in_force.load_full().unwrap_or(in_force);
    let admission = authorize(in_force, &request_head, head.uri.path())?;
    refuse_if_full(cx, &admission)?;
    let mut request = start_request(cx, admission, request_head, received_at, (head, body))?;
    if let Err(error) = admit_content(&mut request) {
        return Err(finish_with_error(error, request));
    }
    if let Err(error) = prepare_take_up(&mut request).await {
        return Err(finish_with_error(error, request));
    }
    match reserve_tokens(&request).await {
        Ok(reservation) => request.reservation = reservation,
        Err(error) => return Err(finish_with_error(error, request)),
    }
    relay(request).await
}

/// Returns the desired state in force; waits up to [`STARTUP_WAIT`] for the first one.
async fn wait_for_desired_state(cx: &RelayContext) -> Option<Arc<InForce>> {
    let until = cx.instant(cx.now() + STARTUP_WAIT);
    loop {
        let changed = cx.desired_state_changed.notified();
        if let Some(in_force) = cx.in_force.load_full() {
            return Some(in_force);
        }
        if tokio::time::timeout_at(until, changed).await.is_err() {
            return None;
        }
    }
}

/// Result of authorizing a request.
struct Admission {
    /// Desired state that the request was checked against.
    in_force: Arc<InForce>,
    /// Route that matches the request.
    route: Arc<Route>,
    /// Client account; `None` if the request is accepted without one.
    account: Option<Arc<Account>>,
}

/// Finds the route and the client account of a request.
///
/// # Errors
/// Returns an error if no route matches, or the key that the route requires is missing or unknown.
fn authorize(
    in_force: Arc<InForce>,
    request_head: &RequestHead,
    path: &str,
) -> Result<Admission, Error> {
    let state = &in_force.state;
    let Some(route) = state.find_route(&request_head.host, path).cloned() else {
        return Err(Error::new(ErrorKind::NotFound, "no route matches this host and path"));
    };
    let Some(accounts) = &state.accounts else {
        return Ok(Admission { in_force, route, account: None });
    };
    let account = request_head.key.as_ref().and_then(|key| accounts.get(key)).cloned();
    if account.is_none() && !route.is_anonymous {
        return Err(Error::new(ErrorKind::Unauthorized, "the API key is missing or unknown"));
    }
    Ok(Admission { in_force, route, account })
}

/// Returns the answer to a request that was refused when it began to arrive. The desired state may accept
/// it by now, but its body was not kept.
fn refusal_in_force(
    cx: &RelayContext,
    refusal: Error,
    request_head: &RequestHead,
    path: &str,
) -> Error {
    let in_force = cx.in_force.load_full();
    if in_force.is_none_or(|it| authorize(it, request_head, path).is_err()) {
        return refusal;
    }
    let delay = jitter(FULL_RETRY_DELAY, &mut cx.lock_rng());
    let message = "the desired state has changed while the request arrived";
    Error::new(ErrorKind::Overloaded, message).with_retry_delay(delay)
}

/// Refuses a request at once if this router carries as much as its host takes, so that the caller goes to
/// another one and what is carried already ends in time.
///
/// # Errors
/// Returns an error if the router is full for requests of this priority.
fn refuse_if_full(cx: &RelayContext, admission: &Admission) -> Result<(), Error> {
    let account = admission.account.as_ref();
    let priority = account.and_then(|it| it.priority).unwrap_or(admission.route.priority);
    let Some(bound) = cx.lock_room().refuses(priority) else { return Ok(()) };
    metrics::counter!(telemetry::SHED_REQUESTS_TOTAL, "bound" => bound.label()).increment(1);
    let delay = jitter(FULL_RETRY_DELAY, &mut cx.lock_rng());
    let message = "the router is full; others have room";
    Err(Error::new(ErrorKind::Overloaded, message).with_retry_delay(delay))
}

/// Creates the state of an authorized request and picks its service.
fn start_request(
    cx: &Arc<RelayContext>,
    admission: Admission,
    request_head: RequestHead,
    received_at: Timestamp,
    (head, body): (http::request::Parts, HeldBody),
) -> Result<ActiveRequest, Error> {
    let Admission { in_force, route, account } = admission;
    let service = route.pick_service(&mut cx.lock_rng()).cloned();
    let service =
        service.ok_or_else(|| Error::new(ErrorKind::NoEndpoint, "the route has no service"))?;
    let caller_timeout = request_head.caller_timeout.unwrap_or(route.timeout).min(route.timeout);
    let spec = in_force.state.services.get(&service);
    let is_prepaid = account.as_ref().is_some_and(|it| it.prepaid_tokens.is_some());
    let uses_tokens = route.retry_policy.is_stream() && spec.is_some_and(ServiceSpec::is_engine);
    if is_prepaid && uses_tokens && request_head.tokens.is_none() {
        return Err(Error::new(ErrorKind::BadRequest, "the request does not declare its tokens"));
    }
    let connections_max = cx.connections_share(spec);
    // The caller counts from the time at which it sent the request.
    let timeout = caller_timeout.saturating_sub(cx.lock_room().arrival_wait());
    cx.running.fetch_add(1, Ordering::Relaxed);
    Ok(ActiveRequest {
        cx: cx.clone(),
        in_force,
        head: request_head,
        route,
        account,
        service,
        outgoing: OutgoingRequest {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: body.bytes().clone(),
            connections_max,
        },
        _body: body,
        received_at,
        deadline: received_at + timeout,
        reservation: None,
        attempts: 0,
        delivered_attempts: 0,
        may_have_run: false,
        failed_endpoints: Vec::new(),
        events: 0,
        attempt_events: 0,
        origin: None,
        origin_records: 0,
        record_holders: Vec::new(),
        is_trial: false,
        fingerprint: OnceLock::new(),
        sent_at: None,
        first_event_at: None,
        is_complete: false,
        has_uncounted_output: false,
        outcome: CALLER_LEFT,
        endpoint: None,
    })
}

async fn relay(request: ActiveRequest) -> Result<Response<ResponseBody>, Error> {
    let relayed = if request.route.retry_policy.is_stream() {
        relay_stream(request).await
    } else {
        relay_plain(request).await
    };
    relayed.map_err(|(error, request)| finish_with_error(error, request))
}

fn finish_with_error(error: Error, mut request: ActiveRequest) -> Error {
    request.outcome = error.kind().code();
    error
}
