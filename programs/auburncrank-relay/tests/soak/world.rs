//! Fleet of router processes with a stand-in store and stand-in endpoints.

use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::Path,
    time::Duration,
};

use rand::Rng as _;
use serde_json::Value;
use tokio::time::Instant;
use utils::{Rng, seeded_rng};

use crate::{
    brittle::{self, BrittleService},
    builds,
    callers::{Callers, EVENTS_PER_STREAM},
    changes::{self, SPARE_SERVICE},
    cuts::{self, CutPeriod, FAILURE_DOMAINS},
    engines::{Engines, desired_state_with_engines},
    faults::TimedAction,
    late_readers, older_copies,
    periods::Periods,
    proxy::Proxy,
    router::Router,
    support::{
        Behaviour, EndpointLinks, StandInEndpoint, StandInStore, endpoint_entry, readiness_status,
    },
};

/// Number of routers, in the runs of two of ten seeds, and of two of twenty seeds.
const ROUTERS: usize = 3;
const MANY_ROUTERS: usize = 20;
const MOST_ROUTERS: usize = 40;
pub(crate) const ENDPOINTS: usize = 6;

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
const OLDER_COPIES_SEED: u64 = 5 << 32;
const BUILDS_SEED: u64 = 6 << 32;

/// Time during which faults begin.
const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// Time after the last fault within which every router must serve again.
pub(crate) const RECOVERY_TIME: Duration = Duration::from_secs(6);

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
    pub(crate) store: StandInStore,
    pub(crate) store_links: Vec<Proxy>,
    pub(crate) endpoint_links: Vec<Proxy>,
    pub(crate) version: u64,
    pub(crate) rng: Rng,
    /// Routers whose process was stopped or suspended, and when this began or ended.
    pub(crate) disturbances: Vec<(SocketAddr, Instant)>,
    /// Endpoints whose answers did not arrive, and from when to when.
    pub(crate) lost_answers: Vec<(usize, Instant, Instant)>,
    pub(crate) timed_actions: Vec<(Instant, TimedAction)>,
    is_calm: bool,
    /// Links of each router to all endpoints.
    pub(crate) endpoint_views: Vec<EndpointLinks>,
    pub(crate) cuts: Vec<CutPeriod>,
    /// When routers' processes were stopped, suspended or shutting down.
    pub(crate) stopped: Periods<SocketAddr>,
    /// When routers did not reach the store.
    pub(crate) store_faults: Periods<SocketAddr>,
    /// When endpoints were down, or their links did more than fall silent.
    pub(crate) endpoint_faults: Periods<String>,
    /// Desired state, and when operators changed it.
    pub(crate) state: Value,
    pub(crate) changes: Vec<Instant>,
    pub(crate) changes_rng: Rng,
}

impl SoakFleet {
    /// Starts a fleet of this build, or of an earlier one that is replaced during the run.
    pub(crate) async fn start(seed: u64, earlier: Option<&Path>) -> SoakFleet {
        let store = StandInStore::start().await;
        // Earlier builds do not know eras.
        let has_older_copies = earlier.is_none() && older_copies::has_older_copies(seed);
        if has_older_copies {
            store.state_era();
        }
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
            let program = earlier.map_or_else(builds::current_program, Path::to_owned);
            let mut router = Router::new(&name, domain, *ip, link.address, &ips, program);
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
            is_calm: is_calm(seed) || earlier.is_some(),
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
        if has_older_copies {
            let mut rng = seeded_rng(seed + OLDER_COPIES_SEED);
            fleet.timed_actions.extend(older_copies::plan(Instant::now(), &mut rng));
        }
        fleet.cuts = cuts::plan(Instant::now(), ips.len(), &mut rng);
        if let Some(earlier) = earlier {
            let mut rng = seeded_rng(seed + BUILDS_SEED);
            fleet.timed_actions.extend(builds::plan(Instant::now(), ips.len(), earlier, &mut rng));
        }
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

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
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
    pub(crate) async fn run_for(&mut self, time: Duration) {
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

    pub(crate) fn record_disturbance(&mut self, router: usize, from: Instant, until: Instant) {
        let address = self.routers[router].caller_address;
        self.disturbances.push((address, Instant::now()));
        self.stopped.add(address, from, until);
    }

    pub(crate) fn write_state(&mut self) {
        self.version += 1;
        self.state["version"] = self.version.into();
        self.store.write("op", "config", &self.state);
        self.changes.push(Instant::now());
    }
}
