//! Callers that send one request after another over persistent connections.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    ops::Range,
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
use tokio::{net::TcpSocket, time::Instant};
use utils::Rng;

use crate::{
    engines::{CRASHING_PART, ENGINE_KEY, FIRST_PART, SESSIONS},
    late_readers::RECEIVE_BUFFER_BYTES,
    outcome::{RequestEnd, RequestOutcome},
    support::CALLER_KEY,
};

/// Time that callers allow for a request, and for a large answer that they read late.
const TIMEOUT: Duration = Duration::from_millis(2_500);
const LATE_READER_TIMEOUT: Duration = Duration::from_secs(6);

/// Time after the timeout of a request at which its caller gives up.
const CALLER_SLACK: Duration = Duration::from_millis(500);

/// Tokens that a stream declares: those of its prompt, and its maximum output.
pub(crate) const PROMPT_TOKENS: u64 = 100;
pub(crate) const OUTPUT_TOKENS_MAX: u64 = 50;

/// Number of events in each stream, and of tokens in each event.
pub(crate) const EVENTS_PER_STREAM: u64 = 12;
pub(crate) const TOKENS_PER_EVENT: u64 = 3;

/// Number of times that a caller takes up the same stream.
const TAKE_UPS_MAX: usize = 3;

/// One of this many requests has the crashing part while such requests are sent.
const CRASHING_REQUEST_RATIO: u32 = 20;

/// Range of the time for which a late reader reads nothing, in milliseconds. The longest are above the
/// timeouts of connections that detect a broken path.
const READ_PAUSE_MS: Range<u64> = 900..3_600;

/// Kind of a request, named after its route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Get,
    Order,
    Stream,
    Resume,
    /// A resumable stream of the model engines, with prompt parts that others share.
    Engine,
    /// The same with a part that crashes engines.
    Crashing,
    /// A GET request to the brittle service.
    Brittle,
    /// A GET request for a large answer, which the caller reads late.
    Large,
}

impl RequestKind {
    /// Returns the time that the caller allows for the request.
    pub(crate) fn timeout(self) -> Duration {
        if self == RequestKind::Large { LATE_READER_TIMEOUT } else { TIMEOUT }
    }

    fn path(self) -> &'static str {
        match self {
            RequestKind::Get => "/get/x",
            RequestKind::Order => "/order/x",
            RequestKind::Stream => "/stream/x",
            RequestKind::Resume => "/resume/x",
            RequestKind::Engine | RequestKind::Crashing => "/engine/x",
            RequestKind::Brittle => "/brittle/x",
            RequestKind::Large => "/large/x",
        }
    }

    fn is_get(self) -> bool {
        matches!(self, RequestKind::Get | RequestKind::Brittle | RequestKind::Large)
    }

    fn is_stream(self) -> bool {
        !self.is_get() && self != RequestKind::Order
    }

    fn is_for_engines(self) -> bool {
        matches!(self, RequestKind::Engine | RequestKind::Crashing)
    }

    /// Returns the prompt parts of a request; the last one is its own.
    fn prompt_parts(self, number: u64) -> String {
        let (session, own) = (number % SESSIONS, number + 0x1000);
        match self {
            RequestKind::Crashing => {
                format!("{FIRST_PART}:10,5e{session}:10,{CRASHING_PART}:10,{own:x}:10")
            }
            _ => format!("{FIRST_PART}:10,5e{session}:10,{own:x}:10"),
        }
    }
}

/// All callers of a run and the outcomes of their requests.
#[derive(Clone, Default)]
pub(crate) struct Callers {
    outcomes: Arc<Mutex<Vec<RequestOutcome>>>,
    next_id: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    /// Whether some requests have the crashing part.
    has_crashing: Arc<AtomicBool>,
    /// Whether callers crowd the brittle service.
    is_crowding: Arc<AtomicBool>,
}

impl Callers {
    /// Starts a caller that sends requests to random routers and reuses its connections.
    pub(crate) fn start(&self, routers: Vec<SocketAddr>, mut rng: Rng) {
        let callers = self.clone();
        tokio::spawn(async move {
            let mut connections: Vec<Option<SendRequest<Empty<Bytes>>>> = vec![];
            connections.resize_with(routers.len(), || None);
            while !callers.is_stopped.load(Ordering::Relaxed) {
                let at = rng.random_range(0..routers.len());
                let mut kind = [
                    RequestKind::Get,
                    RequestKind::Order,
                    RequestKind::Stream,
                    RequestKind::Resume,
                    RequestKind::Engine,
                    RequestKind::Engine,
                ][rng.random_range(0..6)];
                let is_crashing = rng.random_range(0..CRASHING_REQUEST_RATIO) == 0;
                if is_crashing && callers.has_crashing.load(Ordering::Relaxed) {
                    kind = RequestKind::Crashing;
                }
                let mut outcome = callers.call(kind, routers[at], &mut connections[at]).await;
                for _ in 0..TAKE_UPS_MAX {
                    if kind != RequestKind::Engine || !outcome.is_broken_stream() {
                        break;
                    }
                    let at = rng.random_range(0..routers.len());
                    outcome = callers.take_up(&outcome, routers[at], &mut connections[at]).await;
                }
                tokio::time::sleep(Duration::from_millis(rng.random_range(5..60))).await;
            }
        });
    }

    /// Starts a caller that sends requests to the brittle service while it is crowded.
    pub(crate) fn start_crowding(&self, routers: Vec<SocketAddr>, mut rng: Rng) {
        let callers = self.clone();
        tokio::spawn(async move {
            let mut connections: Vec<Option<SendRequest<Empty<Bytes>>>> = vec![];
            connections.resize_with(routers.len(), || None);
            while !callers.is_stopped.load(Ordering::Relaxed) {
                let at = rng.random_range(0..routers.len());
                if callers.is_crowding.load(Ordering::Relaxed) {
                    callers.call(RequestKind::Brittle, routers[at], &mut connections[at]).await;
                }
                tokio::time::sleep(Duration::from_millis(rng.random_range(20..60))).await;
            }
        });
    }

    /// Starts a caller that requests large answers and reads them late.
    pub(crate) fn start_late_reader(&self, routers: Vec<SocketAddr>, mut rng: Rng) {
        let callers = self.clone();
        tokio::spawn(async move {
            while !callers.is_stopped.load(Ordering::Relaxed) {
                let router = routers[rng.random_range(0..routers.len())];
                callers.call(RequestKind::Large, router, &mut None).await;
                tokio::time::sleep(Duration::from_millis(rng.random_range(100..600))).await;
            }
        });
    }

    /// Makes callers crowd the brittle service, or not.
    pub(crate) fn crowd(&self, is_crowding: bool) {
        self.is_crowding.store(is_crowding, Ordering::Relaxed);
    }

    /// Makes some requests have the crashing part, or none.
    pub(crate) fn send_crashing(&self, is_sent: bool) {
        self.has_crashing.store(is_sent, Ordering::Relaxed);
    }

    pub(crate) fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    pub(crate) fn outcomes(&self) -> Vec<RequestOutcome> {
        self.outcomes.lock().unwrap().clone()
    }

    /// Sends one request, records its outcome and returns it.
    pub(crate) async fn call(
        &self,
        kind: RequestKind,
        router: SocketAddr,
        connection: &mut Option<SendRequest<Empty<Bytes>>>,
    ) -> RequestOutcome {
        self.send(kind, None, router, connection).await
    }

    /// Takes up a stream that broke.
    async fn take_up(
        &self,
        broken: &RequestOutcome,
        router: SocketAddr,
        connection: &mut Option<SendRequest<Empty<Bytes>>>,
    ) -> RequestOutcome {
        self.send(broken.kind, Some(broken), router, connection).await
    }

    async fn send(
        &self,
        kind: RequestKind,
        broken: Option<&RequestOutcome>,
        router: SocketAddr,
        connection: &mut Option<SendRequest<Empty<Bytes>>>,
    ) -> RequestOutcome {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let id = format!("soak-{number}");
        let sent_at = Instant::now();
        let mut outcome = RequestOutcome {
            id: id.clone(),
            kind,
            router,
            sent_at,
            ended_at: sent_at,
            end: RequestEnd::NotSent,
            events: 0,
            last_event: broken.map_or(0, |it| it.last_event),
            event_data: BTreeSet::new(),
            resumes: broken.map(|it| it.resumes.clone().unwrap_or_else(|| it.id.clone())),
            limit_stated_at: None,
            leaving_stated_at: None,
        };
        if connection.as_ref().is_none_or(SendRequest::is_closed) {
            *connection = connect(router, kind).await;
        }
        if let Some(sender) = connection {
            let exchanged = exchange(sender, &mut outcome, number);
            match tokio::time::timeout(kind.timeout() + CALLER_SLACK, exchanged).await {
                Ok(end) => outcome.end = end,
                Err(_) => outcome.end = RequestEnd::Broken,
            }
            if !matches!(outcome.end, RequestEnd::Answered(..)) {
                *connection = None;
            }
        }
        outcome.ended_at = Instant::now();
        self.outcomes.lock().unwrap().push(outcome.clone());
        outcome
    }
}

async fn connect(router: SocketAddr, kind: RequestKind) -> Option<SendRequest<Empty<Bytes>>> {
    let socket = TcpSocket::new_v4().unwrap();
    if kind == RequestKind::Large {
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    }
    let connected = tokio::time::timeout(Duration::from_secs(1), socket.connect(router));
    let stream = connected.await.ok()?.ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    Some(sender)
}

async fn exchange(
    sender: &mut SendRequest<Empty<Bytes>>,
    outcome: &mut RequestOutcome,
    number: u64,
) -> RequestEnd {
    if sender.ready().await.is_err() {
        return RequestEnd::NotSent;
    }
    let key = if outcome.kind.is_for_engines() { ENGINE_KEY } else { CALLER_KEY };
    let method = if outcome.kind.is_get() { "GET" } else { "POST" };
    let mut req = Request::builder()
        .method(method)
        .uri(outcome.kind.path())
        .header("host", "a.example")
        .header("x-auburncrank-attempt-id", &outcome.id)
        .header("x-auburncrank-deadline-ms", outcome.kind.timeout().as_millis().to_string())
        .header("authorization", format!("Bearer {key}"));
    if outcome.kind.is_stream() {
        let tokens = format!("{PROMPT_TOKENS},{OUTPUT_TOKENS_MAX}");
        req = req.header("x-auburncrank-token-usage", tokens);
    }
    if outcome.kind.is_for_engines() {
        req = req.header("x-auburncrank-prefix-hash", outcome.kind.prompt_parts(number));
    }
    if let Some(first) = &outcome.resumes {
        req = req.header("resumes", first).header("last-event-id", outcome.last_event);
    }
    let res = match sender.try_send_request(req.body(Empty::new()).unwrap()).await {
        Ok(res) => res,
        Err(mut error) => {
            return if error.take_message().is_some() {
                RequestEnd::NotSent
            } else {
                RequestEnd::Broken
            };
        }
    };
    let (head, mut body) = res.into_parts();
    outcome.limit_stated_at = head.headers.contains_key("server-limit").then(Instant::now);
    outcome.leaving_stated_at = head.headers.contains_key("server-leaving").then(Instant::now);
    if outcome.kind == RequestKind::Large {
        let pause = READ_PAUSE_MS.start + number * 37 % (READ_PAUSE_MS.end - READ_PAUSE_MS.start);
        tokio::time::sleep(Duration::from_millis(pause)).await;
    }
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return RequestEnd::Broken };
        if let Ok(data) = frame.into_data() {
            text.push_str(&String::from_utf8_lossy(&data));
            if outcome.kind.is_stream() {
                outcome.read_events(&text);
            }
            if outcome.leaves_after(number).is_some_and(|it| outcome.events >= it) {
                return RequestEnd::Left;
            }
        }
    }
    let id = header(&head.headers, "x-auburncrank-attempt-id");
    RequestEnd::Answered(head.status.as_u16(), id, text)
}

fn header(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
}
