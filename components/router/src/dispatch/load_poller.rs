//! Polls load reports and cache events of engines, at a bounded rate.

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

/// Least time between two polls of one engine.
const ENGINE_INTERVAL: Duration = Duration::from_millis(400);

/// Least time between any two polls of a router; bounds the bytes that polls take.
const PACE: Duration = Duration::from_millis(25);

/// Pause while no engine is due.
const IDLE_PAUSE: Duration = Duration::from_millis(50);

/// Longest time of one poll.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Load polls of an engine for each poll of its cache events.
const LOADS_PER_EVENTS: u64 = 4;

/// Polls of one engine.
#[derive(Debug, Clone, Copy)]
struct PollState {
    /// Start of the last poll.
    polled_at: Instant,
    /// Polls so far.
    polls: u64,
    /// Whether a poll runs.
    is_running: bool,
    /// Number of the next cache event.
    next_event: u64,
}

/// Polls engines, those in use and those polled longest ago first.
#[derive(Clone)]
pub(super) struct LoadPoller {
    /// HTTP client.
    http: HttpClient,
    /// Names the engines.
    status: Arc<ArcSwap<DispatchStatus>>,
    /// The scheduler's task.
    commands: UnboundedSender<Command>,
    /// Polls by engine.
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

    /// Polls for as long as the router lives.
    pub(super) async fn run(self) {
        let mut rng = new_rng();
        while !self.commands.is_closed() {
            let pause = match self.start_next() {
                Some(poll) => {
                    tokio::spawn(self.clone().poll(poll));
                    PACE
                }
                None => IDLE_PAUSE,
            };
            tokio::time::sleep(jitter(pause, &mut rng)).await;
        }
    }

    /// Picks the engine that is due and marks its poll as running.
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
        let due = engines.filter(|it| age(it) >= ENGINE_INTERVAL);
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
        if is_up && state.polls.is_multiple_of(LOADS_PER_EVENTS) {
            state.next_event = self.poll_events(&endpoint, address, state.next_event).await;
        }
        self.lock().insert(endpoint, PollState { is_running: false, ..state });
    }

    /// Reads cache events from number `from` on; returns the number of the next.
    async fn poll_events(&self, endpoint: &EndpointName, address: SocketAddr, from: u64) -> u64 {
        let path = format!("/v1/cache/events/{from}");
        let told: Option<CacheEvents> = self.get(address, &path, "cache_events").await;
        let Some(told) = told else { return from };
        let next = told.first.saturating_add(told.events.len() as u64);
        // An engine that started anew counts from zero again.
        let has_gap = told.first != from && from > 0;
        let _ = self.commands.send(Command::CacheEvents {
            endpoint: endpoint.clone(),
            events: told.events,
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
        let read = res.and_then(|res| serde_json::from_slice(res.body()).ok());
        let result = if read.is_some() { "ok" } else { "failed" };
        metrics::counter!(telemetry::POLLS_TOTAL, "source" => source, "result" => result)
            .increment(1);
        read
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<EndpointName, PollState>> {
        self.polls.lock().expect("no holder of the lock panics")
    }
}
