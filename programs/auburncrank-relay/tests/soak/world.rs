//! Fleet of router processes with a stand-in store and stand-in endpoints, and the faults that
//! the soak test injects into it.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    ops::Range,
    time::Duration,
};

use http::StatusCode;
use rand::Rng as _;
use rustix::process::Signal;
use serde_json::Value;
use tokio::time::Instant;
use utils::{Rng, seeded_rng};

use crate::{
    brittle::{self, BrittleService},
    callers::{Callers, EVENTS_PER_STREAM, RequestKind, RequestOutcome},
    changes::{self, SPARE_SERVICE},
    cuts::{self, CutPeriod, FAILURE_DOMAINS},
    engines::{
        DOWN_TIME, ENGINES, Engines, LEAVING_ENGINES, NEW_ENGINES, desired_state_with_engines,
    },
    late_readers,
    periods::Periods,
    proxy::{LinkFault, Proxy},
    router::{Router, SHUTDOWN_GRACE},
    support::{
        Behaviour, Cut, EndpointLinks, StandInEndpoint, StandInStore, endpoint_entry,
        readiness_status,
    },
};

/// Number of routers, in the runs of two of ten seeds, and of two of twenty seeds.
const ROUTERS: usize = 3;
const MANY_ROUTERS: usize = 20;
const MOST_ROUTERS: usize = 40;
const ENDPOINTS: usize = 6;

/// Number of endpoints, including those of the service to which routes move.
pub(crate) const ALL_ENDPOINTS: usize = ENDPOINTS + 2;
const CALLERS: usize = 14;

/// Callers that crowd the brittle service.
const CROWDING_CALLERS: usize = 36;

/// Callers that read their answers late.
const LATE_READERS: usize = 2;

/// Prepaid tokens of the client account; few enough to be used up during a run.
pub(crate) const PREPAID_TOKENS: u64 = 40_000;

/// Endpoint that states a rate limit, and the limit in requests per second from all routers.
pub(crate) const LIMITED_ENDPOINT: usize = 3;
pub(crate) const STATED_LIMIT: f64 = 2.0;

/// Endpoint that states that it is leaving some time after the start.
pub(crate) const LEAVING_ENDPOINT: usize = 4;

/// Endpoints that refuse requests for some time and ask for pauses, and the length of a pause. They
/// are all that have no other statement, so that nothing else keeps requests away from them.
pub(crate) const PAUSING_ENDPOINTS: [usize; 4] = [0, 1, 2, 5];
pub(crate) const PAUSE: Duration = Duration::from_millis(1_500);

/// Time after the end of a disturbance from which a router is in touch again, and after the
/// beginning of a cut from which its callers must be served.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Share of the faults that begin in the runs of calm seeds.
const CALM_FAULT_SHARE: f64 = 0.15;

/// Differences between the seed of the series of faults and those of other series.
const CUTS_SEED: u64 = 1 << 32;
const CHANGES_SEED: u64 = 2 << 32;
const BRITTLE_SEED: u64 = 3 << 32;
const LATE_READERS_SEED: u64 = 4 << 32;

/// Range of the length of a silence, in milliseconds.
const SILENCE_MS: Range<u64> = 700..1_500;

/// Time during which faults begin.
const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Time after the last fault within which every router must serve again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Time after which a change must have taken effect, so that a leaving endpoint receives no new
/// requests.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

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
}

/// Returns the routers' IP addresses. They differ between seeds and between processes of the
/// soak test, so that several can run at the same time.
fn addresses_of(seed: u64) -> Vec<IpAddr> {
    let run = 64 + (std::process::id() % 128) as u8;
    let net = 20 + (seed % 200) as u8;
    let routers = match seed {
        _ if matches!(seed % 20, 0 | 16) => MOST_ROUTERS,
        _ if matches!(seed % 10, 0 | 6) => MANY_ROUTERS,
        _ => ROUTERS,
    };
    (1..=routers as u8).map(|it| Ipv4Addr::new(127, run, net, it).into()).collect()
}

/// Returns whether few faults of processes and of links to the store and to single endpoints begin in
/// the runs of a seed, so that most routers are in touch.
fn is_calm(seed: u64) -> bool {
    matches!(seed % 10, 3 | 6 | 9)
}

pub(crate) struct SoakFleet {
    pub(crate) callers: Callers,
    pub(crate) routers: Vec<Router>,
    pub(crate) endpoints: Vec<StandInEndpoint>,
    pub(crate) engines: Engines,
    pub(crate) brittle: BrittleService,
    /// Endpoints with large answers.
    pub(crate) large: Vec<StandInEndpoint>,
    pub(crate) faults: Vec<String>,
    store: StandInStore,
    store_links: Vec<Proxy>,
    endpoint_links: Vec<Proxy>,
    version: u64,
    rng: Rng,
    /// Routers whose process was stopped or suspended, and when this began or ended.
    pub(crate) disturbances: Vec<(SocketAddr, Instant)>,
    /// Endpoints whose answers did not arrive, and from when to when.
    pub(crate) lost_answers: Vec<(usize, Instant, Instant)>,
    timed_actions: Vec<(Instant, TimedAction)>,
    is_calm: bool,
    /// Links of each router to all endpoints.
    endpoint_views: Vec<EndpointLinks>,
    pub(crate) cuts: Vec<CutPeriod>,
    /// When routers' processes were stopped, suspended or shutting down.
    pub(crate) stopped: Periods<SocketAddr>,
    /// When routers did not reach the store.
    pub(crate) store_faults: Periods<SocketAddr>,
    /// When endpoints were down, or their links did more than fall silent.
    endpoint_faults: Periods<String>,
    /// Desired state, and when operators changed it.
    state: Value,
    pub(crate) changes: Vec<Instant>,
    changes_rng: Rng,
}

impl SoakFleet {
    pub(crate) async fn start(seed: u64) -> SoakFleet {
        let store = StandInStore::start().await;
        let mut state = desired_state_with_engines(1, PREPAID_TOKENS);
        changes::add_service(&mut state);
        brittle::add_service(&mut state);
        late_readers::add_service(&mut state);
        store.write("op", "config", &state);
        let (mut endpoints, mut endpoint_links) = (Vec::new(), Vec::new());
        for number in 0..ALL_ENDPOINTS {
            let endpoint = StandInEndpoint::start(Behaviour::ByPath(EVENTS_PER_STREAM)).await;
            let link = Proxy::start(endpoint.address).await;
            let mut entry = endpoint_entry(link.address, "ready");
            if number >= ENDPOINTS {
                entry["service"] = SPARE_SERVICE.into();
            }
            store.write("servers", &format!("i-{number}"), &entry);
            endpoints.push(endpoint);
            endpoint_links.push(link);
        }
        let engines = Engines::start(&store).await;
        let brittle = BrittleService::start(&store).await;
        let large = late_readers::start(&store).await;
        let ips = addresses_of(seed);
        let (mut routers, mut store_links) = (Vec::new(), Vec::new());
        let mut endpoint_views = Vec::new();
        for (number, ip) in ips.iter().enumerate() {
            let view = EndpointLinks::start(store.address).await;
            engines.follow(&view);
            brittle.follow(&view);
            let link = Proxy::start(view.store_address).await;
            let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
            let name = format!("router-{number}");
            let mut router = Router::new(&name, domain, *ip, link.address, &ips);
            router.start();
            routers.push(router);
            store_links.push(link);
            endpoint_views.push(view);
        }
        let mut fleet = SoakFleet {
            callers: Callers::default(),
            routers,
            endpoints,
            engines,
            brittle,
            large,
            faults: Vec::new(),
            store,
            store_links,
            endpoint_links,
            version: 1,
            rng: seeded_rng(seed),
            disturbances: Vec::new(),
            lost_answers: Vec::new(),
            timed_actions: Vec::new(),
            is_calm: is_calm(seed),
            endpoint_views,
            cuts: Vec::new(),
            stopped: Periods::default(),
            store_faults: Periods::default(),
            endpoint_faults: Periods::default(),
            state,
            changes: Vec::new(),
            changes_rng: seeded_rng(seed + CHANGES_SEED),
        };
        fleet.wait_until_ready().await;
        let mut rng = seeded_rng(seed + CUTS_SEED);
        let brittle = brittle::plan(Instant::now(), &mut seeded_rng(seed + BRITTLE_SEED));
        fleet.timed_actions.extend(brittle);
        fleet.cuts = cuts::plan(Instant::now(), ips.len(), &mut rng);
        fleet.endpoints[LIMITED_ENDPOINT].state_limit(Some(&STATED_LIMIT.to_string()));
        let addresses = fleet.addresses();
        for number in 0..CALLERS {
            fleet.callers.start(addresses.clone(), seeded_rng(seed * 100 + number as u64));
        }
        for number in 0..CROWDING_CALLERS {
            let rng = seeded_rng(seed * 100 + number as u64 + BRITTLE_SEED);
            fleet.callers.start_crowding(addresses.clone(), rng);
        }
        for number in 0..LATE_READERS {
            let rng = seeded_rng(seed * 100 + number as u64 + LATE_READERS_SEED);
            fleet.callers.start_late_reader(addresses.clone(), rng);
        }
        fleet
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|it| it.caller_address).collect()
    }

    async fn wait_until_ready(&mut self) {
        let until = Instant::now() + RECOVERY_TIME;
        for router in &self.routers {
            loop {
                let connected = tokio::net::TcpStream::connect(router.ready_address).await.is_ok();
                if connected && readiness_status(router.ready_address).await == 200 {
                    break;
                }
                assert!(Instant::now() < until, "{} is not ready", router.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Begins faults at random times; they may overlap.
    pub(crate) async fn inject_faults(&mut self) {
        let until = Instant::now() + FAULT_PERIOD;
        self.begin_statements();
        self.begin_cuts();
        let changes = changes::plan(Instant::now(), &mut self.changes_rng);
        self.timed_actions.extend(changes);
        while Instant::now() < until {
            if !self.is_calm || self.rng.random_bool(CALM_FAULT_SHARE) {
                self.begin_fault();
            }
            let pause = self.rng.random_range(80..600);
            self.run_for(Duration::from_millis(pause)).await;
        }
        self.callers.send_crashing(false);
        let last = self.timed_actions.iter().map(|it| it.0).max().unwrap_or_else(Instant::now);
        self.run_for(last.saturating_duration_since(Instant::now())).await;
    }

    /// Waits for `time`; meanwhile ends faults that are due and restarts routers whose process
    /// has ended.
    async fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let now = Instant::now();
            let (due, later) =
                std::mem::take(&mut self.timed_actions).into_iter().partition(|it| it.0 <= now);
            self.timed_actions = later;
            for (_, action) in due {
                self.act(&action);
            }
            for number in 0..self.routers.len() {
                let router = &mut self.routers[number];
                if let Some(status) = router.poll_exit() {
                    let name = &router.name;
                    assert!(status.success(), "{name} ended with {status}");
                    router.start();
                    self.record_disturbance(number, now, now);
                }
            }
            if now >= until {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Makes endpoints state that they are leaving or want a pause, at random times.
    fn begin_statements(&mut self) {
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

    fn begin_cuts(&mut self) {
        for (number, cut) in self.cuts.iter().enumerate() {
            self.timed_actions.push((cut.from, TimedAction::BeginCut(number)));
            self.timed_actions.push((cut.until, TimedAction::EndCut(number)));
            self.faults.push(format!("routers {:?} cut off: {:?}", cut.routers, cut.cut));
        }
    }

    fn begin_fault(&mut self) {
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

    /// Returns whether a router's process was stopped or suspended in a period.
    pub(crate) fn was_disturbed(&self, router: SocketAddr, from: Instant, until: Instant) -> bool {
        self.disturbances.iter().any(|it| it.0 == router && it.1 >= from && it.1 <= until)
    }

    /// Returns whether the router of a request was in touch with callers, store and other routers
    /// from [`CONTACT_TIME`] before the request to its end.
    pub(crate) fn is_in_touch(&self, outcome: &RequestOutcome) -> bool {
        let (from, until) = (outcome.sent_at - CONTACT_TIME, outcome.ended_at);
        !self.stopped.overlap(&outcome.router, from, until)
            && !self.store_faults.overlap(&outcome.router, from, until)
    }

    /// Returns whether the router of a request was cut off from all endpoints between
    /// [`CONTACT_TIME`] before the request and its end.
    pub(crate) fn was_cut_off(&self, outcome: &RequestOutcome) -> bool {
        self.was_cut(outcome.router, outcome.sent_at - CONTACT_TIME, outcome.ended_at)
    }

    /// Returns whether a router was cut off from all endpoints in a period.
    pub(crate) fn was_cut(&self, router: SocketAddr, from: Instant, until: Instant) -> bool {
        let mut cuts = self.cuts.iter().filter(|it| it.from <= until && it.until >= from);
        cuts.any(|it| it.routers.iter().any(|it| self.routers[*it].caller_address == router))
    }

    fn record_disturbance(&mut self, router: usize, from: Instant, until: Instant) {
        let address = self.routers[router].caller_address;
        self.disturbances.push((address, Instant::now()));
        self.stopped.add(address, from, until);
    }

    /// Returns whether an endpoint was down in a period, or its link did more than fall silent.
    pub(crate) fn was_unsound(&self, id: &String, from: Instant, until: Instant) -> bool {
        let engine = id.strip_prefix("m-").and_then(|it| it.parse::<usize>().ok());
        let crashes = engine.map(|it| self.engines.endpoints[it].part_crashes());
        self.endpoint_faults.overlap(id, from, until)
            || crashes
                .into_iter()
                .flatten()
                .map(Instant::from)
                .any(|it| it <= until && it + DOWN_TIME >= from)
    }

    fn write_state(&mut self) {
        self.version += 1;
        self.state["version"] = self.version.into();
        self.store.write("op", "config", &self.state);
        self.changes.push(Instant::now());
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

    fn act(&mut self, action: &TimedAction) {
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

    /// Checks that the fleet recovers once all faults have ended.
    pub(crate) async fn check_recovery(&mut self) {
        // A router that received SIGTERM may take its whole grace period to end.
        self.run_for(SHUTDOWN_GRACE).await;
        let until = Instant::now() + RECOVERY_TIME;
        for router in self.addresses() {
            while self.callers.call(RequestKind::Get, router, &mut None).await.status() != Some(200)
            {
                assert!(Instant::now() < until, "{router} does not serve again");
                self.run_for(Duration::from_millis(100)).await;
            }
        }
        self.check_leaving_endpoint().await;
        self.check_shutdown().await;
    }

    async fn check_leaving_endpoint(&mut self) {
        let leaving = endpoint_entry(self.endpoint_links[0].address, "draining");
        self.store.write("servers", "i-0", &leaving);
        self.run_for(PROPAGATION_TIME).await;
        let before = self.endpoints[0].received().len();
        self.run_for(Duration::from_secs(1)).await;
        let after = self.endpoints[0].received().len();
        assert_eq!(after, before, "a leaving endpoint received new requests");
    }

    async fn check_shutdown(&mut self) {
        let signalled_at = Instant::now();
        let router = &mut self.routers[0];
        router.signal(Signal::TERM);
        let status = router
            .wait_for_exit(SHUTDOWN_GRACE)
            .await
            .expect("the router must end within its grace period");
        assert!(status.success(), "the router ended with {status}");
        // A request that arrives while the router closes the connection is not read and may fail.
        let log = self.routers[0].log();
        let was_read = |id: &str| log.contains(&format!("request={id} "));
        let outcomes = self.callers.outcomes();
        let interrupted = outcomes.iter().find(|it| {
            let is_interrupted = it.sent_at >= signalled_at && it.is_broken();
            it.router == self.routers[0].caller_address && is_interrupted && was_read(&it.id)
        });
        assert!(interrupted.is_none(), "interrupted by the shutdown: {interrupted:?}");
    }
}
