//! Callers that keep their connections open and send one request after the other.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Request};
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use rand::Rng as _;
use tokio::{net::TcpStream, time::Instant};
use utils::Rng;

use crate::support::CALLER_KEY;

/// Time that a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(3);

/// Tokens that a stream declares: its prompt, and its output at most.
pub(crate) const PROMPT_TOKENS: u64 = 100;
pub(crate) const OUTPUT_TOKENS_MAX: u64 = 50;

/// Events of each stream; an event holds three tokens.
pub(crate) const EVENTS: u64 = 12;
pub(crate) const TOKENS_PER_EVENT: u64 = 3;

/// Kinds of requests; the names are those of the routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Get,
    Order,
    Stream,
    Resume,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Kind::Get => "/get/x",
            Kind::Order => "/order/x",
            Kind::Stream => "/stream/x",
            Kind::Resume => "/resume/x",
        }
    }

    fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resume)
    }
}

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum End {
    /// A whole answer: status, the request that it names, and the body.
    Answered(u16, String, String),
    /// The connection ended, or nothing came in time, after the request was sent.
    Broken,
    /// No connection was made, or the connection ended before the request was sent.
    NotSent,
}

/// A request as its caller saw it.
#[derive(Debug, Clone)]
pub(crate) struct Outcome {
    pub(crate) id: String,
    pub(crate) kind: Kind,
    pub(crate) router: SocketAddr,
    pub(crate) sent_at: Instant,
    pub(crate) end: End,
    /// Events that arrived, whole ones.
    pub(crate) events: u64,
}

/// What all callers have seen.
#[derive(Clone, Default)]
pub(crate) struct Callers {
    outcomes: Arc<Mutex<Vec<Outcome>>>,
    next_id: Arc<AtomicU64>,
    is_over: Arc<AtomicBool>,
}

impl Callers {
    /// Starts a caller that goes from router to router, and keeps the connections.
    pub(crate) fn start(&self, routers: Vec<SocketAddr>, mut rng: Rng) {
        let callers = self.clone();
        tokio::spawn(async move {
            let mut kept: Vec<Option<SendRequest<Empty<Bytes>>>> = vec![];
            kept.resize_with(routers.len(), || None);
            while !callers.is_over.load(Ordering::Relaxed) {
                let at = rng.random_range(0..routers.len());
                let kind =
                    [Kind::Get, Kind::Order, Kind::Stream, Kind::Resume][rng.random_range(0..4)];
                callers.call(kind, routers[at], &mut kept[at]).await;
                tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
            }
        });
    }

    pub(crate) fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
    }

    pub(crate) fn outcomes(&self) -> Vec<Outcome> {
        self.outcomes.lock().unwrap().clone()
    }

    /// Sends one request, and returns what became of it.
    pub(crate) async fn call(
        &self,
        kind: Kind,
        router: SocketAddr,
        kept: &mut Option<SendRequest<Empty<Bytes>>>,
    ) -> Outcome {
        let id = format!("soak-{}", self.next_id.fetch_add(1, Ordering::Relaxed));
        let sent_at = Instant::now();
        let mut outcome =
            Outcome { id: id.clone(), kind, router, sent_at, end: End::NotSent, events: 0 };
        if kept.as_ref().is_none_or(SendRequest::is_closed) {
            *kept = connect(router).await;
        }
        if let Some(sender) = kept {
            let exchanged = exchange(sender, &mut outcome);
            match tokio::time::timeout(CALLER_TIMEOUT, exchanged).await {
                Ok(end) => outcome.end = end,
                Err(_) => outcome.end = End::Broken,
            }
            if !matches!(outcome.end, End::Answered(..)) {
                *kept = None;
            }
        }
        self.outcomes.lock().unwrap().push(outcome.clone());
        outcome
    }
}

async fn connect(router: SocketAddr) -> Option<SendRequest<Empty<Bytes>>> {
    let connected = tokio::time::timeout(Duration::from_secs(1), TcpStream::connect(router));
    let stream = connected.await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn exchange(sender: &mut SendRequest<Empty<Bytes>>, outcome: &mut Outcome) -> End {
    if sender.ready().await.is_err() {
        return End::NotSent;
    }
    let method = if outcome.kind == Kind::Get { "GET" } else { "POST" };
    let mut req = Request::builder()
        .method(method)
        .uri(outcome.kind.path())
        .header("host", "a.example")
        .header("x-auburncrank-attempt-id", &outcome.id)
        .header("x-auburncrank-deadline-ms", "2500")
        .header("authorization", format!("Bearer {CALLER_KEY}"));
    if outcome.kind.is_stream() {
        let tokens = format!("{PROMPT_TOKENS},{OUTPUT_TOKENS_MAX}");
        req = req.header("x-auburncrank-token-usage", tokens);
    }
    let res = match sender.try_send_request(req.body(Empty::new()).unwrap()).await {
        Ok(res) => res,
        Err(mut error) => {
            return if error.take_message().is_some() { End::NotSent } else { End::Broken };
        }
    };
    let (head, mut body) = res.into_parts();
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return End::Broken };
        if let Ok(data) = frame.into_data() {
            text.push_str(&String::from_utf8_lossy(&data));
            outcome.events = text.matches("\n\n").count() as u64;
        }
    }
    let id = header(&head.headers, "x-auburncrank-attempt-id");
    End::Answered(head.status.as_u16(), id, text)
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}
