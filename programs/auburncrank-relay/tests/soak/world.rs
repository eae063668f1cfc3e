//! A fleet of processes before stand-ins of the store and of endpoints, and its faults.

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
    callers::{Callers, EVENTS, Kind},
    proxy::{LinkFault, Proxy},
    router::{GRACE, Router},
    support::{Behaviour, StandInEndpoint, StandInStore, ask_ready, desired_state, entry},
};

const ROUTERS: usize = 3;
const ENDPOINTS: usize = 4;
const CALLERS: usize = 8;

/// Tokens of the account: used up in the course of a run.
pub(crate) const PREPAID: u64 = 40_000;

/// Time in which faults begin.
const FAULTS_TIME: Duration = Duration::from_secs(8);

/// Time after the last fault within which each router serves again.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

/// Time within which a leaving endpoint gets nothing new any more, and a change is in force.
const BELIEF_TIME: Duration = Duration::from_secs(2);

/// What ends a fault, and when.
enum Ending {
    Start(usize),
    Continue(usize),
    StoreLink(usize),
    EndpointLink(usize),
    Store,
    History,
}

/// Returns the routers' addresses: others for each seed and each process of the soak, so
/// that several run at a time.
fn addresses_of(seed: u64) -> Vec<IpAddr> {
    let run = 64 + (std::process::id() % 128) as u8;
    let net = 20 + (seed % 200) as u8;
    (1..=ROUTERS as u8).map(|it| Ipv4Addr::new(127, run, net, it).into()).collect()
}

pub(crate) struct World {
    pub(crate) callers: Callers,
    pub(crate) routers: Vec<Router>,
    pub(crate) endpoints: Vec<StandInEndpoint>,
    pub(crate) faults: Vec<String>,
    store: StandInStore,
    store_links: Vec<Proxy>,
    endpoint_links: Vec<Proxy>,
    version: u64,
    rng: Rng,
    endings: Vec<(Instant, Ending)>,
}

impl World {
    pub(crate) async fn start(seed: u64) -> World {
        let store = StandInStore::start().await;
        store.write("op", "config", &desired_state(1, PREPAID));
        let (mut endpoints, mut endpoint_links) = (Vec::new(), Vec::new());
        for number in 0..ENDPOINTS {
            let endpoint = StandInEndpoint::start(Behaviour::ByPath(EVENTS)).await;
            let link = Proxy::start(endpoint.address).await;
            store.write("servers", &format!("i-{number}"), &entry(link.address, "ready"));
            endpoints.push(endpoint);
            endpoint_links.push(link);
        }
        let ips = addresses_of(seed);
        let (mut routers, mut store_links) = (Vec::new(), Vec::new());
        for (number, ip) in ips.iter().enumerate() {
            let link = Proxy::start(store.address).await;
            let mut router = Router::new(&format!("router-{number}"), *ip, link.address, &ips);
            router.start();
            routers.push(router);
            store_links.push(link);
        }
        let mut world = World {
            callers: Callers::default(),
            routers,
            endpoints,
            faults: Vec::new(),
            store,
            store_links,
            endpoint_links,
            version: 1,
            rng: seeded_rng(seed),
            endings: Vec::new(),
        };
        world.wait_until_ready().await;
        let addresses = world.addresses();
        for number in 0..CALLERS {
            world.callers.start(addresses.clone(), seeded_rng(seed * 100 + number as u64));
        }
        world
    }

    fn addresses(&self) -> Vec<SocketAddr> {
        self.routers.iter().map(|it| it.callers).collect()
    }

    async fn wait_until_ready(&mut self) {
        let until = Instant::now() + RECOVERY_TIME;
        for router in &self.routers {
            loop {
                let connected = tokio::net::TcpStream::connect(router.ready).await.is_ok();
                if connected && ask_ready(router.ready).await == 200 {
                    break;
                }
                assert!(Instant::now() < until, "{} is not ready", router.name);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Begins faults at random moments; they overlap.
    pub(crate) async fn disturb(&mut self) {
        let until = Instant::now() + FAULTS_TIME;
        while Instant::now() < until {
            self.begin_fault();
            let pause = self.rng.random_range(80..600);
            self.pass(Duration::from_millis(pause)).await;
        }
        let last = self.endings.iter().map(|it| it.0).max().unwrap_or_else(Instant::now);
        self.pass(last.saturating_duration_since(Instant::now())).await;
    }

    /// Lets time pass; ends faults that are due, and starts routers whose process has ended.
    async fn pass(&mut self, time: Duration) {
        let until = Instant::now() + time;
        loop {
            let now = Instant::now();
            let (due, later) =
                std::mem::take(&mut self.endings).into_iter().partition(|it| it.0 <= now);
            self.endings = later;
            for (_, ending) in due {
                self.end_fault(&ending);
            }
            for router in &mut self.routers {
                if let Some(status) = router.ended() {
                    let name = &router.name;
                    assert!(status.success(), "{name} ended with {status}");
                    router.start();
                }
            }
            if now >= until {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    fn begin_fault(&mut self) {
        let now = Instant::now();
        let router = self.rng.random_range(0..ROUTERS);
        let endpoint = self.rng.random_range(0..ENDPOINTS);
        let end_at = now + Duration::from_millis(self.rng.random_range(200..2_500));
        let link_fault = match self.rng.random_range(0..4) {
            0 => LinkFault::Delay(self.rng.random_range(20..300)),
            1 => LinkFault::Reset,
            2 => LinkFault::Silent,
            _ => LinkFault::AnswersLost,
        };
        let name = match self.rng.random_range(0..10) {
            0 if self.routers[router].is_running() => {
                self.routers[router].kill();
                let restart = now + Duration::from_millis(self.rng.random_range(300..1_500));
                self.endings.push((restart, Ending::Start(router)));
                format!("kill router {router}")
            }
            1 => {
                self.routers[router].signal(Signal::STOP);
                self.endings.push((end_at, Ending::Continue(router)));
                format!("stop router {router}")
            }
            2 => {
                self.routers[router].signal(Signal::TERM);
                format!("terminate router {router}")
            }
            3 => {
                self.routers[router].signal(Signal::HUP);
                format!("hang up router {router}")
            }
            4 | 5 => {
                self.store_links[router].disturb(link_fault);
                self.endings.push((end_at, Ending::StoreLink(router)));
                format!("store link of router {router}: {link_fault:?}")
            }
            6 | 7 => {
                self.endpoint_links[endpoint].disturb(link_fault);
                self.endings.push((end_at, Ending::EndpointLink(endpoint)));
                format!("link of endpoint {endpoint}: {link_fault:?}")
            }
            8 => {
                let status = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS]
                    [self.rng.random_range(0..2)];
                self.store.refuse_all(Some(status));
                self.endings.push((end_at, Ending::Store));
                format!("store refuses: {status}")
            }
            _ => {
                self.store.lose_history(true);
                self.endings.push((end_at, Ending::History));
                self.version += 1;
                self.store.write("op", "config", &desired_state(self.version, PREPAID));
                format!("store loses its history, version {}", self.version)
            }
        };
        self.faults.push(name);
    }

    fn end_fault(&mut self, ending: &Ending) {
        match *ending {
            Ending::Start(router) if !self.routers[router].is_running() => {
                self.routers[router].start();
            }
            Ending::Start(_) => {}
            Ending::Continue(router) => self.routers[router].signal(Signal::CONT),
            Ending::StoreLink(router) => self.store_links[router].disturb(LinkFault::None),
            Ending::EndpointLink(it) => self.endpoint_links[it].disturb(LinkFault::None),
            Ending::Store => self.store.refuse_all(None),
            Ending::History => self.store.lose_history(false),
        }
    }

    /// Checks what holds once all faults have ended.
    pub(crate) async fn check_recovery(&mut self) {
        // A router that was told to end may take its grace to do so.
        self.pass(GRACE).await;
        let until = Instant::now() + RECOVERY_TIME;
        for router in self.addresses() {
            while self.callers.call(Kind::Get, router, &mut None).await.status() != Some(200) {
                assert!(Instant::now() < until, "{router} does not serve again");
                self.pass(Duration::from_millis(100)).await;
            }
        }
        self.check_leaving_endpoint().await;
        self.check_shutdown().await;
    }

    async fn check_leaving_endpoint(&mut self) {
        let leaving = entry(self.endpoint_links[0].address, "draining");
        self.store.write("servers", "i-0", &leaving);
        self.pass(BELIEF_TIME).await;
        let before = self.endpoints[0].received().len();
        self.pass(Duration::from_secs(1)).await;
        let after = self.endpoints[0].received().len();
        assert_eq!(after, before, "a leaving endpoint got new requests");
    }

    async fn check_shutdown(&mut self) {
        let begin = Instant::now();
        let router = &mut self.routers[0];
        router.signal(Signal::TERM);
        let status = router.wait_for_end(GRACE).await.expect("the router ends within its grace");
        assert!(status.success(), "the router ended with {status}");
        // A request that crosses the close of its connection is not read and may be cut.
        let log = self.routers[0].log();
        let was_read = |id: &str| log.contains(&format!("request={id} "));
        let outcomes = self.callers.outcomes();
        let cut = outcomes.iter().find(|it| {
            let is_cut = it.sent_at >= begin && it.is_broken();
            it.router == self.routers[0].callers && is_cut && was_read(&it.id)
        });
        assert!(cut.is_none(), "cut off by the shutdown: {cut:?}");
    }
}
