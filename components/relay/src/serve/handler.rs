//! The way of a caller's request: read, authenticate, admit, reserve, relay.

use std::{
    convert::Infallible,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use bytes::Bytes;
use errors::{Error, ErrorKind};
use http::{HeaderValue, Request, Response, header::CONNECTION};
use hyper::body::Incoming;
use routing::Verdict;
use types::Timestamp;
use utils::jitter;

use super::{
    body::AnswerBody,
    exchange::Outgoing,
    framing::{check_framing, head_bytes},
    plain::relay_plain,
    request_body::read_body,
    run::{CALLER_LEFT, Run},
    stream_run::relay_stream,
    tokens::reserve_tokens,
};
use crate::{
    context::{InForce, RelayContext},
    model::{Account, RequestHead, Route, ServiceSpec},
    units::millis,
};

/// Time for which a request waits for what a new process reads at its start: a few answers
/// of the store.
const START_WAIT: Duration = Duration::from_millis(60);

/// Equal shares of an endpoint's connections that one router may use: some routers have
/// more callers than others, and few come near their share.
const CONNECTIONS_SHARES: usize = 2;

/// Connections to an endpoint that a router has in any case, however many routers share it.
const CONNECTIONS_MIN: usize = 2;

/// Time after which a caller may return to a router that has no desired state yet.
const START_RETURN: Duration = Duration::from_millis(400);

/// Handles one request; an error is answered here.
pub(super) async fn handle(
    cx: Arc<RelayContext>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let (head, body) = req.into_parts();
    let read = cx.dialect.read_request(&head);
    let id = read.as_ref().ok().map(|it| it.id.clone());
    let result = match read {
        Ok(request) => serve(&cx, head, request, body).await,
        Err(error) => Err(error),
    };
    let mut res = result.unwrap_or_else(|error| {
        metrics::counter!(telemetry::REFUSALS_TOTAL, "code" => error.kind().code()).increment(1);
        log::info!(request:% = id.as_deref().unwrap_or(""), reason = error.kind().code(), ran:? = error.ran(), return_ms = millis(error.retry_delay().unwrap_or_default()); "request refused: {error}");
        let res = cx.dialect.write_error(&error, id.as_deref());
        res.map(|bytes| AnswerBody::Whole(Some(bytes)))
    });
    if cx.is_leaving.load(Ordering::Relaxed) || cx.is_crowded.load(Ordering::Relaxed) {
        res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(res)
}

async fn serve(
    cx: &Arc<RelayContext>,
    head: http::request::Parts,
    request: RequestHead,
    body: Incoming,
) -> Result<Response<AnswerBody>, Error> {
    let received_at = cx.now();
    cx.record_arrival();
    metrics::counter!(telemetry::REQUESTS_TOTAL, "interface" => "relay").increment(1);
    check_framing(&head.headers)?;
    let Some(in_force) = wait_for_state(cx).await else {
        let delay = jitter(START_RETURN, &mut cx.lock_rng());
        let message = "no desired state is known yet";
        return Err(Error::new(ErrorKind::StoreUnavailable, message).with_retry_delay(delay));
    };
    let limits = in_force.state.limits;
    if head_bytes(&head) > limits.head_max_bytes {
        return Err(Error::new(ErrorKind::HeadersTooLarge, "the headers are too long"));
    }
    // The body is read in any case, so that the connection can go on after a refusal.
    let body = read_body(body, limits.body_max_bytes).await?;
    // What came into force while the body arrived counts.
    let in_force = cx.in_force.load_full().unwrap_or(in_force);
    let admission = authorize(in_force, &request, head.uri.path())?;
    let mut run = begin(cx, admission, request, received_at, (head, body))?;
    if let Err(error) = refuse_crashing(&run) {
        return Err(end_failed(error, run));
    }
    match reserve_tokens(&run).await {
        Ok(reservation) => run.reservation = reservation,
        Err(error) => return Err(end_failed(error, run)),
    }
    relay(run).await
}

/// Returns the desired state in force; waits a little for the first one.
async fn wait_for_state(cx: &RelayContext) -> Option<Arc<InForce>> {
    let until = cx.instant(cx.now() + START_WAIT);
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

/// What allows a request.
struct Admission {
    /// Desired state by which it is handled.
    in_force: Arc<InForce>,
    /// Route.
    route: Arc<Route>,
    /// Client account; none where the route or the state asks for none.
    account: Option<Arc<Account>>,
}

/// Finds the route and the client account of a request.
fn authorize(
    in_force: Arc<InForce>,
    request: &RequestHead,
    path: &str,
) -> Result<Admission, Error> {
    let state = &in_force.state;
    let Some(route) = state.find_route(&request.host, path).cloned() else {
        return Err(Error::new(ErrorKind::NotFound, "no route serves this path"));
    };
    let Some(accounts) = &state.accounts else {
        return Ok(Admission { in_force, route, account: None });
    };
    let account = request.key.as_ref().and_then(|key| accounts.get(key)).cloned();
    if account.is_none() && !route.is_anonymous {
        return Err(Error::new(ErrorKind::Unauthorized, "the key is missing or unknown"));
    }
    Ok(Admission { in_force, route, account })
}

/// Begins to handle a request that is allowed.
fn begin(
    cx: &Arc<RelayContext>,
    admission: Admission,
    request: RequestHead,
    received_at: Timestamp,
    (head, body): (http::request::Parts, Bytes),
) -> Result<Run, Error> {
    let Admission { in_force, route, account } = admission;
    let service = route.draw_service(&mut cx.lock_rng()).cloned();
    let service =
        service.ok_or_else(|| Error::new(ErrorKind::NoEndpoint, "the route has no service"))?;
    let patience = request.patience.unwrap_or(route.timeout).min(route.timeout);
    let spec = in_force.state.services.get(&service);
    let is_paid = account.as_ref().is_some_and(|it| it.prepaid_tokens.is_some());
    let uses_tokens = route.repeat.is_stream() && spec.is_some_and(ServiceSpec::is_engine);
    if is_paid && uses_tokens && request.tokens.is_none() {
        return Err(Error::new(ErrorKind::BadRequest, "the declared tokens are missing"));
    }
    let connections = spec.map_or(CONNECTIONS_MIN, |it| it.max_connections as usize);
    let share = connections * CONNECTIONS_SHARES / cx.lock_roster().count();
    let connections_max = share.min(connections).max(CONNECTIONS_MIN);
    cx.running.fetch_add(1, Ordering::Relaxed);
    Ok(Run {
        cx: cx.clone(),
        in_force,
        head: request,
        route,
        account,
        service,
        outgoing: Outgoing {
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body,
            connections_max,
        },
        received_at,
        limit_at: received_at + patience,
        reservation: None,
        attempts: 0,
        arrivals: 0,
        may_have_run: false,
        avoid: Vec::new(),
        events: 0,
        first_event_at: None,
        is_complete: false,
        outcome: CALLER_LEFT,
        endpoint: None,
    })
}

/// Refuses a request whose content crashed endpoints.
fn refuse_crashing(run: &Run) -> Result<(), Error> {
    if run.cx.lock_quarantine().is_empty() {
        return Ok(());
    }
    let fingerprint = run.fingerprint();
    if run.cx.lock_quarantine().verdict(&fingerprint) != Verdict::Quarantined {
        return Ok(());
    }
    log::warn!(request:% = run.head.id, fingerprint:% = fingerprint; "content crashed endpoints before");
    Err(Error::new(ErrorKind::Quarantined, "the content crashed endpoints before"))
}

async fn relay(mut run: Run) -> Result<Response<AnswerBody>, Error> {
    if run.route.repeat.is_stream() {
        return relay_stream(run).await.map_err(|(error, run)| end_failed(error, run));
    }
    match relay_plain(&mut run).await {
        Ok(res) => Ok(res),
        Err(error) => Err(end_failed(error, run)),
    }
}

fn end_failed(error: Error, mut run: Run) -> Error {
    run.outcome = error.kind().code();
    error
}
