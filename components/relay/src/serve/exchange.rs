//! A single attempt: sends a request to one endpoint and reads the head of the answer.

use std::{io::ErrorKind, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderMap, Method, Request, Uri,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
    response,
};
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use tokio::sync::Notify;
use types::Timestamp;

use super::{
    connection::{ConnectError, Connection},
    connections::ConnectionNeed,
    dialing::{self, PeerVerdict},
};
use crate::{
    context::RelayContext,
    endpoints::{Load, Placement},
    peers::{AdmissionTicket, update_rate_shares},
    ports::AnswerHead,
};

/// A caller's request in the form in which it is sent to endpoints.
#[derive(Debug, Clone)]
pub(super) struct OutgoingRequest {
    /// Method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// Headers as received from the caller.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) body: Bytes,
    /// Maximum number of connections that this router may open to one endpoint.
    pub(super) connections_max: usize,
}

/// Parameters of a single attempt.
pub(super) struct AttemptOptions<'a> {
    /// Id of the caller's request, which the endpoint's answer repeats.
    pub(super) request_id: &'a str,
    /// Headers of the request as sent to the endpoint.
    pub(super) headers: HeaderMap,
    /// Time after which nothing is sent, and no answer is waited for.
    pub(super) deadline: Timestamp,
    /// Whether kept connections must not be used, because the endpoint has failed an earlier attempt. A
    /// faulty endpoint may repeat its answer there, and all attempts of a request have the same id.
    pub(super) needs_new_connection: bool,
    /// Notified once a connection is open.
    pub(super) sending: &'a Notify,
}

/// Size in bytes of a body above which a request may not fit into the buffers of its connection.
const LARGE_BODY_BYTES: usize = 64 * 1_024;

impl OutgoingRequest {
    fn connection_need(&self) -> ConnectionNeed {
        ConnectionNeed {
            max: self.connections_max,
            is_for_large_request: self.body.len() > LARGE_BODY_BYTES,
        }
    }
}

/// Placement of a request. Subtracts the request's load from the endpoint when dropped.
pub(super) struct PlacementGuard {
    cx: Arc<RelayContext>,
    /// The chosen endpoint.
    pub(super) placement: Placement,
    /// Load that is still to be subtracted.
    load: Load,
    /// When the request was placed.
    placed_at: Timestamp,
    /// Permission of the endpoint's owner, if the endpoint is brittle.
    pub(super) ticket: Option<AdmissionTicket>,
}

impl PlacementGuard {
    /// Creates the guard of a placement whose load was added to the endpoint.
    pub(super) fn new(cx: Arc<RelayContext>, placement: Placement) -> PlacementGuard {
        let (load, placed_at) = (placement.load, cx.now());
        PlacementGuard { cx, placement, load, placed_at, ticket: None }
    }

    /// Records that the first event has arrived, or the whole of an answer without events.
    pub(super) fn record_first_event_time(&self) {
        let now = self.cx.now();
        let millis = now.since(self.placed_at).as_secs_f64() * 1_000.0;
        self.cx.lock_endpoints().record_first_event_time(&self.placement, millis, now);
    }

    /// Subtracts the prompt tokens from the endpoint's load once it has processed the prompt.
    pub(super) fn finish_prompt(&mut self) {
        let tokens = std::mem::take(&mut self.load.prompt_tokens);
        if tokens > 0 {
            self.cx.lock_endpoints().finish_prompt(&self.placement.endpoint, tokens);
        }
    }
}

impl Drop for PlacementGuard {
    fn drop(&mut self) {
        self.cx.lock_endpoints().remove_request_load(&self.placement.endpoint, self.load);
        self.cx.capacity_freed.notify_one();
        self.cx.wake_waiting(&self.placement.service);
    }
}

/// An endpoint's answer whose head has arrived.
pub(super) struct EndpointResponse {
    /// Status and headers.
    pub(super) head: response::Parts,
    /// Fields that the dialect read from the head.
    pub(super) metadata: AnswerHead,
    /// Body, still to be read.
    pub(super) body: Incoming,
    /// Connection on which the body arrives.
    pub(super) connection: Connection,
    /// Placement on the endpoint.
    pub(super) guard: PlacementGuard,
}

/// Reason why an attempt returned no answer that can be passed on to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum AttemptFailure {
    /// No byte of the request was sent.
    NotSent(String),
    /// This router has reached its limit of connections to the endpoint, or the deadline passed while
    /// one was being opened; nothing was sent.
    NoConnection,
    /// The endpoint stopped accepting requests while a connection was being opened; nothing was sent.
    Left,
    /// The endpoint refused the request and did not run it.
    Refused,
    /// The address now belongs to another endpoint, which did not run the request.
    Misdirected,
    /// The request was sent, but its answer was lost or invalid; it may have run.
    Lost(String),
    /// No answer arrived in time; the request may have run or may still be running.
    TimedOut,
}

impl AttemptFailure {
    /// Reports whether the request may have run.
    pub(super) fn request_may_have_run(&self) -> bool {
        matches!(self, AttemptFailure::Lost(_) | AttemptFailure::TimedOut)
    }

    /// Reports whether the request arrived at an endpoint.
    pub(super) fn request_arrived(&self) -> bool {
        use AttemptFailure::{Left, NoConnection, NotSent};
        !matches!(self, NotSent(_) | NoConnection | Left)
    }

    /// Returns the label for metrics and logs.
    pub(super) fn label(&self) -> &'static str {
        match self {
            AttemptFailure::NotSent(_) => "not_sent",
            AttemptFailure::NoConnection => "no_connection",
            AttemptFailure::Left => "left",
            AttemptFailure::Refused => "refused",
            AttemptFailure::Misdirected => "misdirected",
            AttemptFailure::Lost(_) => "lost",
            AttemptFailure::TimedOut => "timed_out",
        }
    }
}

/// A failed attempt and its placement.
pub(super) struct FailedAttempt {
    /// Reason for the failure.
    pub(super) failure: AttemptFailure,
    /// Placement on the endpoint.
    pub(super) guard: PlacementGuard,
    /// Connection on which the request was sent, for the log: `kept`, `new`, `tunnel`, or `none`.
    pub(super) connection: &'static str,
}

impl FailedAttempt {
    fn new(failure: AttemptFailure, guard: PlacementGuard) -> Box<FailedAttempt> {
        Box::new(FailedAttempt { failure, guard, connection: "none" })
    }

    fn on(mut self: Box<Self>, connection: &'static str) -> Box<FailedAttempt> {
        self.connection = connection;
        self
    }
}

/// Sends a request to the endpoint of `guard` and waits for the head of the answer until the
/// deadline. Nothing is sent after the deadline or once the endpoint is known to have left, however
/// long the connection took.
pub(super) async fn send(
    cx: &Arc<RelayContext>,
    guard: PlacementGuard,
    outgoing: &OutgoingRequest,
    options: AttemptOptions<'_>,
) -> Result<EndpointResponse, Box<FailedAttempt>> {
    let AttemptOptions { request_id, headers, deadline, needs_new_connection, sending } = options;
    // The endpoint may close an idle connection just as it is reused, so a request that was not
    // sent is tried once more on a new one.
    for may_reuse in [!needs_new_connection, false] {
        let placement = guard.placement.clone();
        let endpoint = placement.endpoint.clone();
        let opening =
            dialing::acquire(cx.clone(), placement, outgoing.connection_need(), may_reuse);
        let mut connection = match dialing::wait_until(cx, &endpoint, opening, deadline).await {
            Some(Ok(connection)) => connection,
            None | Some(Err(ConnectError::TooMany)) => {
                return Err(FailedAttempt::new(AttemptFailure::NoConnection, guard));
            }
            Some(Err(error)) => {
                return Err(FailedAttempt::new(AttemptFailure::NotSent(error.to_string()), guard));
            }
        };
        let sent_at = cx.now();
        if let Some(failure) = reason_not_to_send(cx, &guard.placement, deadline, sent_at) {
            cx.connections.release(connection);
            return Err(FailedAttempt::new(failure, guard));
        }
        sending.notify_one();
        let used = connection.label();
        let sent = connection.sender.try_send_request(build_request(outgoing, headers.clone()));
        match tokio::time::timeout_at(cx.instant(deadline), sent).await {
            Err(_) => return Err(FailedAttempt::new(AttemptFailure::TimedOut, guard).on(used)),
            Ok(Ok(res)) => {
                let answer = read_head(cx, res, connection, guard, request_id, sent_at);
                return answer.map_err(|it| it.on(used));
            }
            Ok(Err(mut error)) => {
                let is_unsent = error.take_message().is_some();
                if !is_unsent {
                    let failure = AttemptFailure::Lost(error.into_error().to_string());
                    return Err(FailedAttempt::new(failure, guard).on(used));
                }
            }
        }
    }
    Err(FailedAttempt::new(
        AttemptFailure::NotSent("the connection was closed before the request was sent".to_owned()),
        guard,
    ))
}

/// Returns why a request must not be sent on an open connection, if anything has changed since the
/// endpoint was chosen.
fn reason_not_to_send(
    cx: &RelayContext,
    placement: &Placement,
    deadline: Timestamp,
    now: Timestamp,
) -> Option<AttemptFailure> {
    if now >= deadline {
        return Some(AttemptFailure::NoConnection);
    }
    let target =
        cx.lock_endpoints().connect_target(&placement.endpoint, placement.process.started_at_ms);
    target.is_none().then_some(AttemptFailure::Left)
}

fn build_request(outgoing: &OutgoingRequest, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(outgoing.body.clone()));
    *req.method_mut() = outgoing.method.clone();
    *req.uri_mut() = outgoing.uri.clone();
    *req.headers_mut() = headers;
    req
}

fn read_head(
    cx: &RelayContext,
    res: http::Response<Incoming>,
    mut connection: Connection,
    guard: PlacementGuard,
    request_id: &str,
    sent_at: Timestamp,
) -> Result<EndpointResponse, Box<FailedAttempt>> {
    let (head, body) = res.into_parts();
    let metadata = cx.dialect.read_answer(&head);
    let is_refusal = metadata.is_misdirected || metadata.is_not_executed;
    let belongs_to_request = match metadata.request_id.as_deref() {
        Some(id) => id == request_id,
        // Without an id, a refusal of this request cannot be told from that of an earlier one.
        None => !is_refusal,
    };
    if !belongs_to_request {
        return Err(FailedAttempt::new(
            AttemptFailure::Lost("the answer belongs to another request".to_owned()),
            guard,
        ));
    }
    if !metadata.is_misdirected {
        let endpoint = &guard.placement.endpoint;
        let statements = &metadata.statements;
        let is_changed =
            cx.lock_endpoints().record_statements(endpoint, statements, sent_at, cx.now());
        if is_changed {
            update_rate_shares(cx);
        }
    }
    if connection.is_tunnel() && !is_framed(&head.headers, &body) {
        // The end of such an answer cannot be told from a tunnel that breaks.
        let message = "the answer through another router has no length";
        return Err(FailedAttempt::new(AttemptFailure::Lost(message.to_owned()), guard));
    }
    if !connection.is_tunnel() {
        cx.lock_paths().record_answer(&guard.placement.service, cx.now());
    }
    if is_refusal {
        let failure = if metadata.is_misdirected {
            AttemptFailure::Misdirected
        } else {
            AttemptFailure::Refused
        };
        return Err(FailedAttempt::new(failure, guard));
    }
    if let Some(seconds) = keep_alive_seconds(&head.headers) {
        connection.set_idle_limit(seconds);
    }
    Ok(EndpointResponse { head, metadata, body, connection, guard })
}

/// Reports whether the end of an answer's body can be told from its content.
fn is_framed(headers: &HeaderMap, body: &Incoming) -> bool {
    let has_length = headers.contains_key(CONTENT_LENGTH);
    has_length || headers.contains_key(TRANSFER_ENCODING) || body.is_end_stream()
}

/// Returns the idle timeout, in seconds, that an endpoint announces in `keep-alive`.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

/// Delay before the crash check, within which the address of a crashed process starts to refuse
/// connections.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(10);

/// What new connections show about the process of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProcessState {
    /// It accepts connections.
    Up,
    /// Its address refuses connections, of other routers as well if any could tell, so the process
    /// has ended.
    Ended,
    /// The endpoint or the network may be the cause.
    Unreachable,
}

/// Finds out whether an endpoint's process has ended, by trying to open a new connection. If this
/// router cannot connect, others are asked: the cause may be its own network path.
pub(super) async fn probe_process(cx: &RelayContext, placement: &Placement) -> ProcessState {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    let connected = cx
        .connections
        .connect(&placement.endpoint, placement.address, ConnectionNeed::usual(usize::MAX))
        .await;
    let is_refused = match connected {
        Ok(connection) => {
            cx.connections.release(connection);
            return ProcessState::Up;
        }
        Err(ConnectError::Failed(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Err(_) => false,
    };
    let verdict = dialing::ask_peers(cx, placement).await;
    let is_blocked = cx.lock_paths().is_blocked(&placement.service, &placement.endpoint);
    match verdict {
        None => ProcessState::Up,
        Some(PeerVerdict::Refused) if is_refused || is_blocked => ProcessState::Ended,
        Some(PeerVerdict::Unknown) if is_refused && !is_blocked => ProcessState::Ended,
        Some(_) => ProcessState::Unreachable,
    }
}

#[cfg(test)]
#[path = "exchange_tests.rs"]
mod tests;
