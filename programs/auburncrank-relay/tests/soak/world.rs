//! Fleet of router processes with a stand-in store and stand-in endpoints, and the faults that
//! the soak test injects into it.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use http::StatusCode;
use rand::Rng as _;
use rustix::process::Signal;
use tokio::time::Instant;
use utils::{Rng, seeded_rng};

use crate::{
    callers::{Callers, EVENTS_PER_STREAM, RequestKind},
    engines::{ENGINES, Engines, LEAVING_ENGINES, NEW_ENGINES, desired_state_with_engines},
    proxy::{LinkFault, Proxy},
    router::{Router, SHUTDOWN_GRACE},
    support::{Behaviour, StandInEndpoint, StandInStore, endpoint_entry, readiness_status},
};

/// Number of routers, and in the runs of every tenth seed.
const ROUTERS: usize = 3;
const MANY_ROUTERS: usize = 20;
const ENDPOINTS: usize = 6;
const CALLERS: usize = 14;

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

/// Time during which faults begin.
const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Time after the last fault within which every router must serve again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Time after which a change must have taken effect, so that a leaving endpoint receives no new
/// requests.
const PROPAGATION_TIME: Duration = Duration::from_secs(2);

/// Action at a set time: ends a fault, or changes what an endpoint states.
enum TimedAction {
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
}

/// Returns the routers' IP addresses. They differ between seeds and between processes of the
/// soak test, so that several can run at the same time.
fn addresses_of(seed: u64) -> Vec<IpAddr> {
    let run = 64 + (std::process::id() % 128) as u8;
    let net = 20 + (seed % 200) as u8;
    let routers = if seed.is_multiple_of(10) { MANY_ROUTERS } else { ROUTERS };
    (1..=routers as u8).map(|it| Ipv4Addr::new(127, run, net, it).into()).collect()
}

pub(crate) struct SoakFleet {
    pub(crate) callers: Callers,
    pub(crate) routers: Vec<Router>,
    pub(crate) endpoints: Vec<StandInEndpoint>,
    pub(crate) engines: Engines,
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
}

impl SoakFleet {
    pub(crate) async fn start(seed: u64) -> SoakFleet {
        let store = StandInStore::start().await;
        store.write("op", "config", &desired_state_with_engines(1, PREPAID_TOKENS));
        let (mut endpoints, mut endpoint_links) = (Vec::new(), Vec::new());
        for number in 0..ENDPOINTS {
            let endpoint = StandInEndpoint::start(Behaviour::ByPath(EVENTS_PER_STREAM)).await;
            let link = Proxy::start(endpoint.address).await;
            store.write("servers", &format!("i-{number}"), &endpoint_entry(link.address, "ready"));
            endpoints.push(endpoint);
            endpoint_links.push(link);
        }
        let engines = Engines::start(&store).await;
        let ips = addresses_of(seed);
        let (mut routers, mut store_links) = (Vec::new(), Vec::new());
        for (number, ip) in ips.iter().enumerate() {
            let link = Proxy::start(store.address).await;
            let mut router = Router::new(&format!("router-{number}"), *ip, link.address, &ips);
            router.start();
            routers.push(router);
            store_links.push(link);
        }
        let mut fleet = SoakFleet {
            callers: Callers::default(),
            routers,
            endpoints,
            engines,
            faults: Vec::new(),
            store,
            store_links,
            endpoint_links,
            version: 1,
            rng: seeded_rng(seed),
            disturbances: Vec::new(),
            lost_answers: Vec::new(),
            timed_actions: Vec::new(),
        };
        fleet.wait_until_ready().await;
        fleet.endpoints[LIMITED_ENDPOINT].state_limit(Some(&STATED_LIMIT.to_string()));
        let addresses = fleet.addresses();
        for number in 0..CALLERS {
            fleet.callers.start(addresses.clone(), seeded_rng(seed * 100 + number as u64));
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
        while Instant::now() < until {
            self.begin_fault();
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
                    self.record_disturbance(number);
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
                self.record_disturbance(router);
                let restart = now + Duration::from_millis(self.rng.random_range(300..1_500));
                self.timed_actions.push((restart, TimedAction::StartRouter(router)));
                format!("kill router {router}")
            }
            1 => {
                self.routers[router].signal(Signal::STOP);
                self.record_disturbance(router);
                self.timed_actions.push((end_at, TimedAction::ContinueRouter(router)));
                format!("pause router {router}")
            }
            2 => {
                self.routers[router].signal(Signal::TERM);
                self.record_disturbance(router);
                format!("terminate router {router}")
            }
            3 => {
                self.routers[router].signal(Signal::HUP);
                format!("send SIGHUP to router {router}")
            }
            4 | 5 => {
                self.store_links[router].set_fault(link_fault);
                self.timed_actions.push((end_at, TimedAction::ClearStoreLink(router)));
                format!("store link of router {router}: {link_fault:?}")
            }
            6 | 7 => {
                self.endpoint_links[endpoint].set_fault(link_fault);
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
                self.timed_actions.push((end_at, TimedAction::ClearStoreRefusal));
                format!("store refuses: {status}")
            }
            9 => {
                self.engines.kill(engine);
                format!("kill engine {engine}")
            }
            10 => {
                self.engines.links[engine].set_fault(link_fault);
                self.timed_actions.push((end_at, TimedAction::ClearEngineLink(engine)));
                format!("link of engine {engine}: {link_fault:?}")
            }
            _ => {
                self.store.set_history_lost(true);
                self.timed_actions.push((end_at, TimedAction::RestoreHistory));
                self.version += 1;
                let state = desired_state_with_engines(self.version, PREPAID_TOKENS);
                self.store.write("op", "config", &state);
                format!("store loses its history, version {}", self.version)
            }
        };
        self.faults.push(name);
    }

    /// Returns whether a router's process was stopped or suspended in a period.
    pub(crate) fn was_disturbed(&self, router: SocketAddr, from: Instant, until: Instant) -> bool {
        self.disturbances.iter().any(|it| it.0 == router && it.1 >= from && it.1 <= until)
    }

    fn record_disturbance(&mut self, router: usize) {
        self.disturbances.push((self.routers[router].caller_address, Instant::now()));
    }

    fn act(&mut self, action: &TimedAction) {
        match *action {
            TimedAction::StartRouter(router) if !self.routers[router].is_running() => {
                self.routers[router].start();
                self.record_disturbance(router);
            }
            TimedAction::StartRouter(_) => {}
            TimedAction::ContinueRouter(router) => {
                self.routers[router].signal(Signal::CONT);
                self.record_disturbance(router);
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
