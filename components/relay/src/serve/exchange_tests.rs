//! Tests that nothing is sent to an endpoint after a request's deadline, or once the endpoint has left.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use errors::{Error, ErrorKind};
use http::{HeaderMap, Method, Response, Uri, request, response};
use platform::{Commit, CommitOutcome, Key, PlatformError, Row, Table};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc},
};
use types::Timestamp;

use super::{AttemptFailure, AttemptOptions, OutgoingRequest, PlacementGuard, send};
use crate::{
    context::{RelayContext, RelayDependencies},
    endpoints::{
        BrittleStatement, EndpointChange, Load, Placement, ProcessId, RateStatement, Statements,
    },
    limits::RetryLimits,
    model::{EndpointEntry, EndpointPhase, RequestHead},
    peers::GossipSocket,
    ports::{
        AnswerHead, ControlSource, Cursor, Dialect, Feed, Forwarding, OperatorChange, OperatorState,
    },
    settings::{Areas, HostLimits, RelaySettings},
    transfer::TransferProgress,
};

/// A wire format without any fields, and a store that never answers.
struct Nothing;

impl Dialect for Nothing {
    fn read_request(&self, _: &request::Parts) -> Result<RequestHead, Error> {
        Err(Error::new(ErrorKind::BadRequest, "no caller connects"))
    }

    fn forward_headers(&self, headers: &HeaderMap, _: &Forwarding<'_>) -> HeaderMap {
        headers.clone()
    }

    fn read_answer(&self, _: &response::Parts) -> AnswerHead {
        let statements = Statements {
            rate: RateStatement::Unknown,
            is_leaving: false,
            pause: None,
            brittleness: BrittleStatement::Unknown,
            has_malformed: false,
        };
        AnswerHead {
            is_not_executed: false,
            is_misdirected: false,
            is_signed: true,
            request_id: None,
            statements,
        }
    }

    fn write_error(&self, _: &Error, _: Option<&str>) -> Response<Bytes> {
        Response::default()
    }

    fn read_address_call(&self, _: &request::Parts) -> Option<Option<Arc<str>>> {
        None
    }

    fn write_addresses(&self, _: &[SocketAddr], _: Duration) -> Bytes {
        Bytes::new()
    }

    fn is_readiness_call(&self, _: &request::Parts) -> bool {
        false
    }
}

#[async_trait]
impl ControlSource for Nothing {
    async fn operator_state(
        &self,
        _: &TransferProgress,
    ) -> Result<(OperatorState, Cursor), PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn operator_changes_after(
        &self,
        _: Cursor,
        _: Duration,
        _: &TransferProgress,
    ) -> Result<Feed<OperatorChange>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn endpoints(&self) -> Result<(Vec<EndpointEntry>, Cursor), PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn endpoints_after(&self, _: Cursor) -> Result<Feed<EndpointChange>, PlatformError> {
        Err(PlatformError::Unavailable)
    }
}

#[async_trait]
impl Table for Nothing {
    async fn read(&self, _: &[Key]) -> Result<Vec<Option<Row>>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn scan(&self, _: &str, _: Option<&Key>) -> Result<Vec<Row>, PlatformError> {
        Err(PlatformError::Unavailable)
    }

    async fn commit(&self, _: &Commit) -> CommitOutcome {
        CommitOutcome::Unknown
    }
}

async fn context() -> Arc<RelayContext> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = RelaySettings {
        name: "r-1".into(),
        failure_domain: "zlin".into(),
        areas: Areas::default(),
        processor_millis: 120,
        host_limits: HostLimits::default(),
        caller_address: address,
        ready_address: address,
        directory_address: address,
        peer_address: address,
        metrics_address: address,
        seeds: Vec::new(),
        retries: RetryLimits { ratio: 0.2, allowance: 10.0, window: Duration::from_secs(10) },
        cold_bounds: None,
        has_slow_readers: false,
        shutdown_grace: Duration::from_secs(8),
        addresses_max_age: Duration::from_secs(5),
    };
    let nothing = Arc::new(Nothing);
    let dependencies =
        RelayDependencies { dialect: nothing.clone(), source: nothing.clone(), table: nothing };
    let gossip = GossipSocket::bind(address).await.unwrap();
    Arc::new(RelayContext::new(settings, dependencies, gossip))
}

fn entry(address: SocketAddr, phase: EndpointPhase) -> EndpointEntry {
    EndpointEntry {
        id: "i-1".into(),
        started_at_ms: 1,
        version: "v1".into(),
        service: "svc".into(),
        address,
        failure_domain: "zlin".into(),
        capacity: 4,
        phase,
        cold_remaining: None,
    }
}

fn guard(cx: &Arc<RelayContext>, address: SocketAddr) -> PlacementGuard {
    let load = Load { requests: 1, ..Load::default() };
    cx.lock_endpoints().add_request_load("i-1", load);
    let placement = Placement {
        endpoint: "i-1".into(),
        service: "svc".into(),
        failure_domain: "zlin".into(),
        address,
        process: ProcessId { started_at_ms: 1, ended: 0 },
        version: "v1".into(),
        is_brittle: false,
        load,
        running: 0,
        tokens_ahead: 0,
        wait_ms: 0.0,
    };
    PlacementGuard::new(cx.clone(), placement)
}

fn outgoing(body: Bytes) -> OutgoingRequest {
    OutgoingRequest {
        method: Method::POST,
        uri: Uri::from_static("/work"),
        headers: HeaderMap::new(),
        body,
        connections_max: 4,
    }
}

fn options(deadline: Timestamp, sending: &Notify) -> AttemptOptions<'_> {
    let (request_id, headers) = ("a-1", HeaderMap::new());
    AttemptOptions { request_id, headers, deadline, needs_new_connection: false, sending }
}

/// Answers each request of a connection, which are without a body, and reports each.
async fn answer_requests(mut stream: TcpStream, requests: mpsc::UnboundedSender<()>) {
    let mut buf = vec![0; 4_096];
    while stream.read(&mut buf).await.is_ok_and(|it| it > 0) {
        requests.send(()).unwrap();
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await.unwrap();
    }
}

/// A router with a kept connection to an endpoint that has answered one request.
async fn router_with_kept_connection()
-> (Arc<RelayContext>, SocketAddr, mpsc::UnboundedReceiver<()>) {
    let cx = context().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (tx, mut rx) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_requests(stream, tx.clone()));
        }
    });
    cx.lock_endpoints().apply_list(vec![entry(address, EndpointPhase::Ready)], cx.now());
    let answered = try_send(&cx, address, cx.now() + Duration::from_secs(60)).await;
    assert_eq!(answered, None);
    rx.recv().await.unwrap();
    (cx, address, rx)
}

/// Sends a request and keeps the connection if it is answered; returns the failure otherwise.
async fn try_send(
    cx: &Arc<RelayContext>,
    address: SocketAddr,
    deadline: Timestamp,
) -> Option<AttemptFailure> {
    let (guard, outgoing) = (guard(cx, address), outgoing(Bytes::new()));
    match send(cx, guard, &outgoing, options(deadline, &Notify::new())).await {
        Ok(answer) => {
            while !answer.connection.sender.is_ready() {
                tokio::task::yield_now().await;
            }
            cx.connections.release(answer.connection);
            None
        }
        Err(failed) => Some(failed.failure),
    }
}

/// Sends one more request and returns how many have arrived since the last one was counted.
async fn count_of_requests_until_next(
    cx: &Arc<RelayContext>,
    address: SocketAddr,
    requests: &mut mpsc::UnboundedReceiver<()>,
) -> usize {
    assert_eq!(try_send(cx, address, cx.now() + Duration::from_secs(60)).await, None);
    requests.recv().await.unwrap();
    let mut count = 1;
    while requests.try_recv().is_ok() {
        count += 1;
    }
    count
}

#[tokio::test]
async fn nothing_is_sent_on_a_kept_connection_after_the_deadline() {
    let (cx, address, mut requests) = router_with_kept_connection().await;
    let failure = try_send(&cx, address, cx.now()).await;
    assert_eq!(failure, Some(AttemptFailure::NoConnection));
    assert_eq!(count_of_requests_until_next(&cx, address, &mut requests).await, 1);
}

#[tokio::test]
async fn nothing_is_sent_to_an_endpoint_that_left_after_it_was_chosen() {
    let (cx, address, mut requests) = router_with_kept_connection().await;
    cx.lock_endpoints()
        .apply_change(EndpointChange::Written(entry(address, EndpointPhase::Leaving)), cx.now());
    let failure = try_send(&cx, address, cx.now() + Duration::from_secs(60)).await;
    assert_eq!(failure, Some(AttemptFailure::Left));
    cx.lock_endpoints().apply_list(vec![entry(address, EndpointPhase::Ready)], cx.now());
    assert_eq!(count_of_requests_until_next(&cx, address, &mut requests).await, 1);
}

/// The endpoint does not read, so most of the request stays in this host's buffers, as behind a full
/// or broken link. Once the request is given up, the rest is discarded and the connection reset.
#[tokio::test]
async fn rest_of_a_request_that_was_given_up_is_not_sent_later() {
    const BODY_BYTES: usize = 64 * 1_024 * 1_024;
    let cx = context().await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    cx.lock_endpoints().apply_list(vec![entry(address, EndpointPhase::Ready)], cx.now());
    let outgoing = outgoing(Bytes::from(vec![b'x'; BODY_BYTES]));
    let deadline = cx.now() + Duration::from_millis(100);
    let sent = {
        let guard = guard(&cx, address);
        send(&cx, guard, &outgoing, options(deadline, &Notify::new())).await
    };
    assert_eq!(sent.err().map(|it| it.failure), Some(AttemptFailure::TimedOut));
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    // A connection that was closed in the usual way ends without an error.
    assert!(stream.read_to_end(&mut received).await.is_err());
}
