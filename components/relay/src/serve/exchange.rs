//! One attempt: a request sent to one endpoint, and the head of its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Uri, response};
use http_body_util::Full;
use hyper::body::Incoming;
use types::Timestamp;

use super::connections::{ConnectError, Connection};
use crate::{
    context::RelayContext,
    endpoints::{Load, Placement},
    ports::AnswerHead,
};

/// A request as it goes to endpoints.
#[derive(Debug, Clone)]
pub(super) struct Outgoing {
    /// Method.
    pub(super) method: Method,
    /// Path and query.
    pub(super) uri: Uri,
    /// Headers of the caller.
    pub(super) headers: HeaderMap,
    /// Body.
    pub(super) body: Bytes,
    /// Connections that this router may have to one endpoint.
    pub(super) connections_max: usize,
}

/// A place on an endpoint, given back on drop.
pub(super) struct Placed {
    cx: Arc<RelayContext>,
    /// Endpoint.
    pub(super) placement: Placement,
    /// Load that is still to be given back.
    load: Load,
}

impl Placed {
    /// Takes over a place that was noted in the book.
    pub(super) fn new(cx: Arc<RelayContext>, placement: Placement) -> Placed {
        let load = placement.load;
        Placed { cx, placement, load }
    }

    /// Notes that the endpoint has processed the prompt.
    pub(super) fn end_prompt(&mut self) {
        let tokens = std::mem::take(&mut self.load.prompt_tokens);
        if tokens > 0 {
            self.cx.lock_endpoints().end_prompt(&self.placement.endpoint, tokens);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.cx.lock_endpoints().end(&self.placement.endpoint, self.load);
        self.cx.place_freed.notify_one();
    }
}

/// An answer whose head has arrived.
pub(super) struct Answer {
    /// Head.
    pub(super) head: response::Parts,
    /// What the head says.
    pub(super) meaning: AnswerHead,
    /// Body.
    pub(super) body: Incoming,
    /// Connection on which the body arrives.
    pub(super) connection: Connection,
    /// Place.
    pub(super) placed: Placed,
}

/// How an attempt ended without an answer that can be passed on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Failure {
    /// No byte of the request was sent.
    NotSent(String),
    /// This router has as many connections to the endpoint as it may; nothing was sent.
    NoConnection,
    /// The endpoint refused the request and did not run it.
    Refused,
    /// Another endpoint has the address; the request was not run.
    Misdirected,
    /// The request was sent and the answer was lost or wrong: it may have run.
    Lost(String),
    /// The time for the attempt passed: the request may run.
    TimedOut,
}

impl Failure {
    /// Tells whether the request may have run.
    pub(super) fn may_have_run(&self) -> bool {
        matches!(self, Failure::Lost(_) | Failure::TimedOut)
    }

    /// Tells whether the request arrived at an endpoint.
    pub(super) fn has_arrived(&self) -> bool {
        !matches!(self, Failure::NotSent(_) | Failure::NoConnection)
    }

    /// Returns the label of counters and logs.
    pub(super) fn label(&self) -> &'static str {
        match self {
            Failure::NotSent(_) => "not_sent",
            Failure::NoConnection => "no_connection",
            Failure::Refused => "refused",
            Failure::Misdirected => "misdirected",
            Failure::Lost(_) => "lost",
            Failure::TimedOut => "timed_out",
        }
    }
}

/// A failed attempt, and the place that it had.
pub(super) struct Failed {
    /// How it failed.
    pub(super) failure: Failure,
    /// Place.
    pub(super) placed: Placed,
}

impl Failed {
    fn new(failure: Failure, placed: Placed) -> Box<Failed> {
        Box::new(Failed { failure, placed })
    }
}

/// Sends a request to the endpoint of `placed` and waits for the head of the answer until
/// `until`.
pub(super) async fn send(
    cx: &RelayContext,
    placed: Placed,
    request_id: &str,
    outgoing: &Outgoing,
    headers: HeaderMap,
    until: Timestamp,
) -> Result<Answer, Box<Failed>> {
    let (endpoint, address) = (&placed.placement.endpoint, placed.placement.address);
    // A kept connection may be closed just as it is taken; a new one may not.
    for is_fresh in [false, true] {
        let opened = if is_fresh {
            cx.connections.connect(endpoint, address, outgoing.connections_max).await
        } else {
            cx.connections.open(endpoint, address, outgoing.connections_max).await
        };
        let mut connection = match opened {
            Ok(connection) => connection,
            Err(ConnectError::TooMany) => return Err(Failed::new(Failure::NoConnection, placed)),
            Err(error) => return Err(Failed::new(Failure::NotSent(error.to_string()), placed)),
        };
        let sent = connection.sender.try_send_request(build(outgoing, headers.clone()));
        match tokio::time::timeout_at(cx.instant(until), sent).await {
            Err(_) => return Err(Failed::new(Failure::TimedOut, placed)),
            Ok(Ok(res)) => return read_head(cx, res, connection, placed, request_id),
            Ok(Err(mut error)) => {
                let is_unsent = error.take_message().is_some();
                if !is_unsent {
                    return Err(Failed::new(Failure::Lost(error.into_error().to_string()), placed));
                }
            }
        }
    }
    Err(Failed::new(Failure::NotSent("connections closed before sending".to_owned()), placed))
}

fn build(outgoing: &Outgoing, headers: HeaderMap) -> Request<Full<Bytes>> {
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
    placed: Placed,
    request_id: &str,
) -> Result<Answer, Box<Failed>> {
    let (head, body) = res.into_parts();
    let meaning = cx.dialect.read_answer(&head);
    if meaning.request_id.as_deref().is_some_and(|id| id != request_id) {
        // An answer to an earlier request of this connection.
        return Err(Failed::new(Failure::Lost("answer to another request".to_owned()), placed));
    }
    if meaning.is_misdirected || meaning.is_not_executed {
        let failure = if meaning.is_misdirected { Failure::Misdirected } else { Failure::Refused };
        return Err(Failed::new(failure, placed));
    }
    if let Some(seconds) = keep_alive_seconds(&head.headers) {
        connection.set_idle_limit(seconds);
    }
    Ok(Answer { head, meaning, body, connection, placed })
}

/// Reads the idle time that an endpoint announces.
fn keep_alive_seconds(headers: &HeaderMap) -> Option<u64> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = text.split(',').find_map(|it| it.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

/// Time within which an endpoint whose process crashed refuses a new connection.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(10);

/// Tells whether the process of an endpoint has ended, by a new connection.
pub(super) async fn has_crashed(cx: &RelayContext, placement: &Placement) -> bool {
    tokio::time::sleep(CRASH_CHECK_DELAY).await;
    let connected =
        cx.connections.connect(&placement.endpoint, placement.address, usize::MAX).await;
    match connected {
        Ok(connection) => {
            cx.connections.keep(connection);
            false
        }
        Err(_) => true,
    }
}
