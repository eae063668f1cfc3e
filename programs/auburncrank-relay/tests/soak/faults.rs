//! The faults of the soak test: when they begin, and what they do.

use std::{collections::BTreeMap, ops::Range, path::PathBuf, time::Duration};

use http::StatusCode;
use rand::Rng as _;
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::Instant;

use crate::{
    callers::EVENTS_PER_STREAM,
    changes,
    engines::{DOWN_TIME, ENGINES, LEAVING_ENGINES, NEW_ENGINES},
    proxy::LinkFault,
    router::SHUTDOWN_GRACE,
    support::{Behaviour, Cut},
    world::{ENDPOINTS, LEAVING_ENDPOINT, PAUSE, PAUSING_ENDPOINTS, SoakFleet},
};

/// Range of the length of a silence, in milliseconds.
const SILENCE_MS: Range<u64> = 700..1_500;

/// Action at a set time: ends a fault, or changes what an endpoint states.
pub(crate) enum TimedAction {
    StartRouter(usize),
    ContinueRouter(usize),
    ClearStoreLink(usize),
    ClearEndpointLink(usize),
    ClearEngineLink(usize),
    ClearStoreRefusal,
    RestoreHistory,
    LeaveEndpoint,
    PauseEndpoints,
    ResumeEndpoints,
    SendCrashing,
    AddEngine(usize),
    RemoveEngine(usize),
    BeginCut(usize),
    EndCut(usize),
    SilenceEndpoint(usize),
    SilenceEngine(usize),
    ChangeState,
    SetBrittle(bool),
    ShortenQueues,
    ReturnToCopy { age: Duration, missing: Duration },
    WriteEntries(BTreeMap<String, Value>),
    ReplaceRouter(usize, PathBuf),
}

impl SoakFleet {
    /// Makes endpoints state that they are leaving or want a pause, at random times.
    pub(crate) fn begin_statements(&mut self) {
        let now = Instant::now();
        let mut time_until =
            |least: u64| Duration::from_millis(self.rng.random_range(least..least + 2_000));
        let (leave, pause) = (now + time_until(1_000), now + time_until(500));
        let resume = pause + time_until(2_000);
        self.timed_actions.push((leave, TimedAction::LeaveEndpoint));
        self.timed_actions.push((pause, TimedAction::PauseEndpoints));
        self.timed_actions.push((resume, TimedAction::ResumeEndpoints));
        let send_crashing = now + Duration::from_millis(self.rng.random_range(0..1_500));
        self.timed_actions.push((send_crashing, TimedAction::SendCrashing));
        let mut release_at = now + Duration::from_millis(self.rng.random_range(500..2_000));
        for number in 0..NEW_ENGINES {
            self.timed_actions.push((release_at, TimedAction::AddEngine(ENGINES + number)));
            release_at += Duration::from_millis(self.rng.random_range(200..800));
            if let Some(leaving) = LEAVING_ENGINES.get(number) {
                self.timed_actions.push((release_at, TimedAction::RemoveEngine(*leaving)));
            }
        }
    }

    pub(crate) fn begin_cuts(&mut self) {
        for (number, cut) in self.cuts.iter().enumerate() {
            self.timed_actions.push((cut.from, TimedAction::BeginCut(number)));
            self.timed_actions.push((cut.until, TimedAction::EndCut(number)));
            self.faults.push(format!("routers {:?} cut off: {:?}", cut.routers, cut.cut));
        }
    }

    pub(crate) fn begin_fault(&mut self) {
        let now = Instant::now();
        let router = self.rng.random_range(0..self.routers.len());
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        let end_at = now + Duration::from_millis(self.rng.random_range(200..2_500));
        let link_fault = match self.rng.random_range(0..4) {
            0 => LinkFault::Delay(self.rng.random_range(20..300)),
            1 => LinkFault::Reset,
            2 => LinkFault::Silent,
            _ => LinkFault::AnswersLost,
        };
        let engine = self.rng.random_range(0..ENGINES + NEW_ENGINES);
        let name = match self.rng.random_range(0..12) {
            0 if self.routers[router].is_running() => {
                self.routers[router].kill();
                let restart = now + Duration::from_millis(self.rng.random_range(300..1_500));
                self.record_disturbance(router, now, restart);
                self.timed_actions.push((restart, TimedAction::StartRouter(router)));
                format!("kill router {router}")
            }
            1 => {
                self.routers[router].signal(Signal::STOP);
                self.record_disturbance(router, now, end_at);
                self.timed_actions.push((end_at, TimedAction::ContinueRouter(router)));
                format!("pause router {router}")
            }
            2 => {
                self.routers[router].signal(Signal::TERM);
                self.record_disturbance(router, now, now + SHUTDOWN_GRACE);
                format!("terminate router {router}")
            }
            3 => {
                self.routers[router].signal(Signal::HUP);
                format!("send SIGHUP to router {router}")
            }
            4 | 5 => {
                self.store_links[router].set_fault(link_fault);
                let address = self.routers[router].caller_address;
                self.store_faults.add(address, now, end_at);
                self.timed_actions.push((end_at, TimedAction::ClearStoreLink(router)));
                format!("store link of router {router}: {link_fault:?}")
            }
            6 | 7 => {
                self.endpoint_links[endpoint].set_fault(link_fault);
                self.endpoint_faults.add(format!("i-{endpoint}"), now, end_at);
                if !matches!(link_fault, LinkFault::Delay(_)) {
                    self.lost_answers.push((endpoint, now, end_at));
                }
                self.timed_actions.push((end_at, TimedAction::ClearEndpointLink(endpoint)));
                format!("link of endpoint {endpoint}: {link_fault:?}")
            }
            8 => {
                let status = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS]
                    [self.rng.random_range(0..2)];
                self.store.refuse_all(Some(status));
                for address in self.addresses() {
                    self.store_faults.add(address, now, end_at);
                }
                self.timed_actions.push((end_at, TimedAction::ClearStoreRefusal));
                format!("store refuses: {status}")
            }
            9 => {
                self.engines.kill(engine);
                self.endpoint_faults.add(format!("m-{engine}"), now, now + DOWN_TIME);
                format!("kill engine {engine}")
            }
            10 => {
                self.engines.links[engine].set_fault(link_fault);
                self.endpoint_faults.add(format!("m-{engine}"), now, end_at);
                self.timed_actions.push((end_at, TimedAction::ClearEngineLink(engine)));
                format!("link of engine {engine}: {link_fault:?}")
            }
            _ => {
                self.store.set_history_lost(true);
                self.timed_actions.push((end_at, TimedAction::RestoreHistory));
                self.write_state();
                format!("store loses its history, version {}", self.version)
            }
        };
        self.faults.push(name);
    }

    /// Makes an endpoint or an engine silent for a moment, unless its link has a fault.
    fn begin_silence(&mut self, endpoint: Option<usize>, engine: Option<usize>) {
        let now = Instant::now();
        let end_at = now + Duration::from_millis(self.changes_rng.random_range(SILENCE_MS));
        if let Some(number) = endpoint.filter(|it| !self.endpoint_links[*it].has_fault()) {
            self.endpoint_links[number].set_fault(LinkFault::AnswersHeld);
            self.lost_answers.push((number, now, end_at));
            self.timed_actions.push((end_at, TimedAction::ClearEndpointLink(number)));
        }
        if let Some(number) = engine.filter(|it| !self.engines.links[*it].has_fault()) {
            self.engines.links[number].set_fault(LinkFault::AnswersHeld);
            self.timed_actions.push((end_at, TimedAction::ClearEngineLink(number)));
        }
    }

    fn set_cut(&self, number: usize, cut: Cut) {
        self.cuts[number].routers.iter().for_each(|it| self.endpoint_views[*it].cut(cut));
    }

    pub(crate) fn act(&mut self, action: &TimedAction) {
        let now = Instant::now();
        match *action {
            TimedAction::StartRouter(router) if !self.routers[router].is_running() => {
                self.routers[router].start();
                self.record_disturbance(router, now, Instant::now());
            }
            TimedAction::StartRouter(_) => {}
            TimedAction::ContinueRouter(router) => {
                self.routers[router].signal(Signal::CONT);
                self.record_disturbance(router, now, Instant::now());
            }
            TimedAction::ClearStoreLink(router) => {
                self.store_links[router].set_fault(LinkFault::None)
            }
            TimedAction::ClearEndpointLink(it) => {
                self.endpoint_links[it].set_fault(LinkFault::None)
            }
            TimedAction::ClearEngineLink(it) => self.engines.links[it].set_fault(LinkFault::None),
            TimedAction::AddEngine(it) => self.engines.register(it, &self.store),
            TimedAction::RemoveEngine(it) => self.engines.leave(it, &self.store),
            TimedAction::BeginCut(it) => self.set_cut(it, self.cuts[it].cut),
            TimedAction::EndCut(it) => self.set_cut(it, Cut::None),
            TimedAction::SilenceEndpoint(it) => self.begin_silence(Some(it), None),
            TimedAction::SilenceEngine(it) => self.begin_silence(None, Some(it)),
            TimedAction::ChangeState => {
                let change = changes::change(&mut self.state, &mut self.changes_rng);
                self.write_state();
                self.faults.push(format!("version {}: {change}", self.version));
            }
            TimedAction::SetBrittle(is_brittle) => {
                self.brittle.state(is_brittle);
                self.callers.crowd(is_brittle);
                if !is_brittle {
                    self.brittle.shorten_queues(false);
                }
            }
            TimedAction::ShortenQueues => self.brittle.shorten_queues(true),
            TimedAction::ReturnToCopy { age, missing } => self.return_to_copy(age, missing),
            TimedAction::WriteEntries(ref entries) => self.store.write_entries(entries),
            TimedAction::ReplaceRouter(router, ref program) => self.replace_router(router, program),
            TimedAction::SendCrashing => self.callers.send_crashing(true),
            TimedAction::ClearStoreRefusal => self.store.refuse_all(None),
            TimedAction::RestoreHistory => self.store.set_history_lost(false),
            TimedAction::LeaveEndpoint => {
                self.endpoints[LEAVING_ENDPOINT].state("server-leaving: 1\r\n");
            }
            TimedAction::PauseEndpoints => {
                for endpoint in PAUSING_ENDPOINTS.map(|it| &self.endpoints[it]) {
                    endpoint.state(&format!("retry-after: {}\r\n", PAUSE.as_secs_f64()));
                    endpoint.set_behaviour(Behaviour::Refuse);
                }
            }
            TimedAction::ResumeEndpoints => {
                for endpoint in PAUSING_ENDPOINTS.map(|it| &self.endpoints[it]) {
                    endpoint.set_behaviour(Behaviour::ByPath(EVENTS_PER_STREAM));
                    endpoint.state("");
                }
            }
        }
    }
}
