//! Polls load reports and cache events of engines, at a limited rate.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use bytes::Bytes;
use client::HttpClient;
use engine_api::{CacheEvents, LoadReport};
use http::{HeaderMap, Method};
use routing::EndpointStatus;
use serde::de::DeserializeOwned;
use tokio::{sync::mpsc::UnboundedSender, time::Instant};
use types::EndpointName;
use utils::{HashMap, jitter, new_rng};

use super::{DispatchStatus, command::Command};

/// Shortest time between two polls of one engine.
const ENGINE_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Mean pause after the start of a poll of any engine; limits the traffic of the polls.
const POLL_PAUSE: Duration = Duration::from_millis(25);

/// Mean pause while no engine is due.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

/// Longest time of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Load polls of an engine per poll of its cache events.
const LOAD_POLLS_PER_EVENT_POLL: u64 = 4;

/// State of the polls of one engine.
#[derive(Debug, Clone, Copy)]
struct PollState {
    /// Start of the last poll.
    polled_at: Instant,
    /// Load polls started so far.
    polls: u64,
    /// Whether a poll is in progress.
    is_running: bool,
    /// Number of the next cache event to read.
    next_event: u64,
}

/// Polls engines; prefers those with requests of this router and those polled longest ago.
#[derive(Clone)]
pub(super) struct LoadPoller {
    /// HTTP client.
    http: HttpClient,
    /// Status of the dispatcher, which lists the engines.
    status: Arc<ArcSwap<DispatchStatus>>,
    /// Commands to the scheduler task.
    commands: UnboundedSender<Command>,
    /// State of the polls by engine.
    polls: Arc<Mutex<HashMap<EndpointName, PollState>>>,
}

impl LoadPoller {
    pub(super) fn new(
        http: HttpClient,
        status: Arc<ArcSwap<DispatchStatus>>,
        commands: UnboundedSender<Command>,
    ) -> LoadPoller {
        LoadPoller { http, status, commands, polls: Arc::default() }
    }

    /// Polls engines until the scheduler task ends.
    pub(super) async fn run(self) {
        let mut rng = new_rng();
        while !self.commands.is_closed() {
            let pause = match self.start_next() {
                Some(poll) => {
                    tokio::spawn(self.clone().poll(poll));
                    POLL_PAUSE
                }
                None => IDLE_PAUSE,
            };
            tokio::time::sleep(jitter(pause, &mut rng)).await;
        }
    }

    /// Chooses the next engine that is due and marks its poll as in progress.
    fn start_next(&self) -> Option<(EndpointName, SocketAddr, PollState)> {
        let status = self.status.load();
        let mut polls = self.lock();
        polls.retain(|name, it| {
            it.is_running || status.endpoints.iter().any(|endpoint| endpoint.name == *name)
        });
        let age = |endpoint: &EndpointStatus| {
            let state = polls.get(&endpoint.name);
            state.map_or(Duration::MAX, |it| {
                if it.is_running { Duration::ZERO } else { it.polled_at.elapsed() }
            })
        };
        let engines = status.endpoints.iter().filter(|it| it.is_engine);
        let due = engines.filter(|it| age(it) >= ENGINE_POLL_INTERVAL);
        let next =
            due.max_by_key(|it| age(it).saturating_mul(1 + u32::from(it.own_requests > 0)))?;
        let fresh =
            PollState { polled_at: Instant::now(), polls: 0, is_running: true, next_event: 0 };
        let state = polls.entry(next.name.clone()).or_insert(fresh);
        *state = PollState {
            polled_at: Instant::now(),
            polls: state.polls + 1,
            is_running: true,
            ..*state
        };
        Some((next.name.clone(), next.address, *state))
    }

    async fn poll(self, (endpoint, address, mut state): (EndpointName, SocketAddr, PollState)) {
        let report: Option<LoadReport> = self.get(address, "/v1/load", "load").await;
        let is_up = report.is_some();
        let command = Command::Report { endpoint: endpoint.clone(), report };
        // The task ends only with the process.
        let _ = self.commands.send(command);
        if is_up && state.polls.is_multiple_of(LOAD_POLLS_PER_EVENT_POLL) {
            state.next_event = self.poll_events(&endpoint, address, state.next_event).await;
        }
        self.lock().insert(endpoint, PollState { is_running: false, ..state });
    }

    /// Reads cache events from number `from` on; returns the number of the next event to read.
    async fn poll_events(&self, endpoint: &EndpointName, address: SocketAddr, from: u64) -> u64 {
        let path = format!("/v1/cache/events/{from}");
        let page: Option<CacheEvents> = self.get(address, &path, "cache_events").await;
        let Some(page) = page else { return from };
        let next = page.first.saturating_add(page.events.len() as u64);
        // After a restart, an engine numbers its events from zero again.
        let has_gap = page.first != from && from > 0;
        let _ = self.commands.send(Command::CacheEvents {
            endpoint: endpoint.clone(),
            events: page.events,
            has_gap,
        });
        next
    }

    async fn get<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        source: &'static str,
    ) -> Option<R> {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let res = self.http.call(address, Method::GET, path, headers, body, POLL_TIMEOUT).await;
        let res = res.ok().filter(|res| res.status().is_success());
        let decoded = res.and_then(|res| serde_json::from_slice(res.body()).ok());
        let result = if decoded.is_some() { "ok" } else { "failed" };
        metrics::counter!(telemetry::POLLS_TOTAL, "source" => source, "result" => result)
            .increment(1);
        decoded
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EndpointName, PollState>> {
        self.polls.lock().expect("the lock is not poisoned")
    }
}
