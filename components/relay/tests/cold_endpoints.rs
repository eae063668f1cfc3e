//! Endpoints that have just started: what routers send them, seen from a whole fleet.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{sync::Arc, time::Duration};

use relay::{
    ColdBounds,
    endpoints::{Choice, ColdLimit, EndpointChange, EndpointRegistry, PlacementRequest, ProcessId},
    model::{ColdStart, EndpointEntry, EndpointPhase, ServiceSpec},
    peers::{Member, Roster},
};
use types::Timestamp;
use utils::{HashMap, Rng, seeded_rng};

/// Rate that a cold endpoint states, and the number of requests in a second above which it crashes.
const COLD_PER_S: f64 = 6.4;
const BOUNDS: ColdBounds = ColdBounds { overage: 1.5, allowance: 5.0 };
const CRASH_ABOVE: usize = 14;

const STEP: Duration = Duration::from_millis(10);
const STATUS_STEPS: usize = 30;

fn spec() -> ServiceSpec {
    ServiceSpec {
        max_connections: 100,
        capacity: None,
        memory_tokens: None,
        tokens_per_event: None,
        cold_start: Some(ColdStart { time: Duration::from_secs(3), per_s: COLD_PER_S }),
    }
}

fn entry(id: &str, started_at_ms: u64, cold_ms: Option<u64>) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        started_at_ms,
        version: "v1".into(),
        service: "portal".into(),
        address: "10.0.1.1:80".parse().unwrap(),
        failure_domain: "north".into(),
        capacity: 10_000,
        phase: EndpointPhase::Ready,
        cold_remaining: cold_ms.map(Duration::from_millis),
    }
}

fn place(registry: &mut EndpointRegistry, now: Timestamp, rng: &mut Rng) -> Choice {
    let service: Arc<str> = "portal".into();
    let request = PlacementRequest {
        service: &service,
        spec: None,
        tokens: None,
        parts: &[],
        failed_endpoints: &[],
        failure_domain: "north",
        routers: 1,
        begins_stream: false,
        version: None,
        is_stream: false,
        suspect: None,
        fill_share: 1.0,
    };
    registry.place(&request, now, rng)
}

fn new_registry() -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    let limit = ColdLimit::new(&spec(), BOUNDS).unwrap();
    registry.set_cold_limits(HashMap::from_iter([("portal".into(), limit)]));
    registry
}

/// A router, and the part of the network that it is in.
struct Router {
    registry: EndpointRegistry,
    roster: Roster,
    part: usize,
}

struct Fleet {
    now: Timestamp,
    rng: Rng,
    routers: Vec<Router>,
    /// Time and endpoint of each request that was sent.
    sent: Vec<(Timestamp, Arc<str>)>,
}

impl Fleet {
    fn new(routers: usize) -> Fleet {
        let router = |_| Router { registry: new_registry(), roster: Roster::default(), part: 0 };
        Fleet {
            now: Timestamp::ZERO,
            rng: seeded_rng(7),
            routers: (0..routers).map(router).collect(),
            sent: Vec::new(),
        }
    }

    fn write(&mut self, entry: &EndpointEntry) {
        for router in &mut self.routers {
            router.registry.apply_change(EndpointChange::Written(entry.clone()), self.now);
        }
    }

    /// Runs for `time`; each router gets a burst of `burst` requests in each step.
    fn run(&mut self, time: Duration, burst: usize) {
        let until = self.now + time;
        let mut step = 0;
        while self.now < until {
            if step % STATUS_STEPS == 0 {
                self.send_statuses();
            }
            for router in &mut self.routers {
                for _ in 0..burst {
                    let choice = place(&mut router.registry, self.now, &mut self.rng);
                    let Choice::Placed(it) = choice else { break };
                    // Requests end at once, so that no endpoint is preferred for its load.
                    router.registry.remove_request_load(&it.endpoint, it.load);
                    self.sent.push((self.now, it.endpoint));
                }
            }
            self.now = self.now + STEP;
            step += 1;
        }
    }

    fn send_statuses(&mut self) {
        for from in 0..self.routers.len() {
            for to in 0..self.routers.len() {
                if from != to && self.routers[from].part == self.routers[to].part {
                    self.routers[to].roster.record_status(member(from), self.now);
                    self.routers[to].roster.record_paces_cold_endpoints(&name(from), true);
                }
            }
        }
        for (number, router) in self.routers.iter_mut().enumerate() {
            router.roster.expire(self.now);
            let mut owners = router.roster.cold_owners(self.now);
            owners.push(name(number));
            router.registry.update_cold_owners(&name(number), &owners, self.now);
        }
    }

    /// Returns the largest number of requests to one of the endpoints whose id begins with `prefix`, in
    /// a second that begins at `from` or later.
    fn most_in_a_second(&self, prefix: &str, from: Timestamp) -> usize {
        let mut times: HashMap<&str, Vec<Timestamp>> = HashMap::default();
        for (at, id) in self.sent.iter().filter(|it| it.1.starts_with(prefix) && it.0 >= from) {
            times.entry(&**id).or_default().push(*at);
        }
        let most = |times: &Vec<Timestamp>| {
            let in_second = |(index, start): (usize, &Timestamp)| {
                let within = |it: &&Timestamp| it.since(*start) < Duration::from_secs(1);
                times[index..].iter().take_while(within).count()
            };
            times.iter().enumerate().map(in_second).max().unwrap_or(0)
        };
        times.values().map(most).max().unwrap_or(0)
    }

    fn count(&self, prefix: &str, from: Timestamp) -> usize {
        self.sent.iter().filter(|it| it.1.starts_with(prefix) && it.0 >= from).count()
    }
}

fn name(number: usize) -> Arc<str> {
    format!("router-{number}").into()
}

fn member(number: usize) -> Member {
    let address = |port: u16| format!("10.0.0.{number}:{port}").parse().unwrap();
    Member {
        name: name(number),
        process: 1,
        caller_address: address(80),
        peer_address: address(7_200),
        failure_domain: "north".into(),
        is_ready: true,
        config_version: 1,
        processor_millis: 250,
        arrivals_per_s: 10,
        room: relay::room::RouterRoom::default(),
    }
}

/// A whole domain comes back cold under a burst, and the rest of the fleet has failed: 58 routers, of
/// which a third is cut off, send to each cold endpoint no more than it survives, and more than half of
/// what it takes.
#[test]
fn a_domain_returns_cold_under_a_burst_while_a_third_is_cut_off() {
    let mut fleet = Fleet::new(58);
    fleet.run(Duration::from_secs(2), 0);
    for number in 0..22 {
        fleet.write(&entry(&format!("cold-{number}"), 1, Some(6_000)));
    }
    let returned_at = fleet.now;
    fleet.run(Duration::from_secs(1), 3);
    for router in fleet.routers.iter_mut().take(19) {
        router.part = 1;
    }
    fleet.run(Duration::from_millis(2_500), 3);
    for router in &mut fleet.routers {
        router.part = 0;
    }
    fleet.run(Duration::from_millis(2_500), 3);
    let most = fleet.most_in_a_second("cold-", returned_at);
    let mean = fleet.count("cold-", returned_at) as f64 / 22.0 / 6.0;
    assert!(most <= CRASH_ABOVE, "{most} requests in a second");
    assert!(mean >= COLD_PER_S / 2.0, "{mean} requests a second");
}

/// Two routers that each see only themselves believe that they own every cold endpoint.
#[test]
fn two_routers_that_both_own_an_endpoint_stay_below_what_it_survives() {
    let mut fleet = Fleet::new(2);
    fleet.routers[1].part = 1;
    fleet.run(Duration::from_secs(2), 0);
    fleet.write(&entry("cold-1", 1, Some(5_000)));
    let from = fleet.now;
    fleet.run(Duration::from_secs(5), 5);
    let most = fleet.most_in_a_second("cold-", from);
    assert!((8..=CRASH_ABOVE).contains(&most), "{most} requests in a second");
}

/// A router that has just become the owner waits until what the former one sent no longer counts, and
/// one that is not among the owners sends nothing.
#[test]
fn ownership_passes_on_with_a_pause() {
    let (own, other) = (name(0), name(1));
    let mut rng = seeded_rng(1);
    let mut registry = new_registry();
    let at = |ms: u64| Timestamp::ZERO + Duration::from_millis(ms);
    registry.update_cold_owners(&own, std::slice::from_ref(&other), at(0));
    let change = EndpointChange::Written(entry("cold-1", 1, Some(9_000)));
    registry.apply_change(change, at(2_000));
    registry.update_cold_owners(&own, std::slice::from_ref(&other), at(2_000));
    let Choice::Limited(wait) = place(&mut registry, at(2_900), &mut rng) else {
        panic!("sent by a router that is no owner")
    };
    assert!(wait.next_at.unwrap() >= at(11_000), "another router may send when it is warm");
    registry.update_cold_owners(&own, std::slice::from_ref(&own), at(3_000));
    let Choice::Limited(wait) = place(&mut registry, at(3_500), &mut rng) else {
        panic!("sent right after the ownership changed")
    };
    let next_at = wait.next_at.unwrap();
    assert!(next_at >= at(4_000) && next_at <= at(4_500), "{next_at:?}");
    assert!(matches!(place(&mut registry, next_at, &mut rng), Choice::Placed(_)));
}

/// Warm endpoints get the requests while they have room. An endpoint that turns warm gets its share of
/// a fleet's requests over a second.
#[test]
fn an_endpoint_that_turns_warm_is_not_met_by_a_herd() {
    let mut fleet = Fleet::new(58);
    fleet.write(&entry("warm-1", 1, Some(0)));
    fleet.run(Duration::from_secs(2), 1);
    fleet.write(&entry("cold-1", 1, Some(3_000)));
    let cold_at = fleet.now;
    fleet.run(Duration::from_millis(300), 1);
    assert_eq!(fleet.count("cold-", cold_at), 0);
    fleet.run(Duration::from_millis(2_700), 1);
    assert!(fleet.most_in_a_second("cold-", cold_at) <= CRASH_ABOVE);
    // From its own moment on, each router sends it half of its requests.
    let mut counts = Vec::new();
    for _ in 0..10 {
        let from = fleet.now;
        fleet.run(Duration::from_millis(100), 1);
        counts.push(fleet.count("cold-", from));
    }
    let half = 58 * 10 / 2;
    assert!(counts[0] < half / 4, "{counts:?}");
    assert!(counts[4] > half / 4 && counts[4] < half * 3 / 4, "{counts:?}");
    assert!(counts[9] > half * 3 / 4, "{counts:?}");
}

/// A process that ends is followed by a cold one, although its entry comes later; an entry without the
/// field counts as cold if the endpoint appears during traffic.
#[test]
fn endpoints_that_start_during_traffic_are_cold() {
    let at = |ms: u64| Timestamp::ZERO + Duration::from_millis(ms);
    let mut registry = new_registry();
    registry.apply_list(vec![entry("a", 1, None), entry("b", 1, Some(0))], at(0));
    assert_eq!(registry.cold_counts(at(10)).0, 0);
    let process = ProcessId { started_at_ms: 1, ended: 0 };
    registry.record_end("b", process, at(1_000));
    registry.apply_change(EndpointChange::Written(entry("b", 1, Some(0))), at(1_500));
    assert_eq!(registry.cold_counts(at(1_500)).0, 1, "a late entry of the former process");
    registry.apply_change(EndpointChange::Written(entry("b", 5, Some(2_000))), at(2_000));
    registry.apply_change(EndpointChange::Written(entry("a", 5, None)), at(2_000));
    assert_eq!(registry.cold_counts(at(2_500)).0, 2);
    registry.apply_change(EndpointChange::Written(entry("a", 5, Some(0))), at(2_600));
    registry.apply_change(EndpointChange::Written(entry("b", 5, Some(0))), at(4_500));
    assert_eq!(registry.cold_counts(at(5_700)).0, 0);
    // It may become cold again.
    registry.apply_change(EndpointChange::Written(entry("b", 5, Some(3_000))), at(6_000));
    assert_eq!(registry.cold_counts(at(6_000)).0, 1);
}

/// Services that state no rate, and deployments without bounds, are served as before.
#[test]
fn services_without_a_rate_are_not_limited() {
    let zero = ColdStart { time: Duration::ZERO, per_s: 0.0 };
    let spec = |cold_start| ServiceSpec { cold_start, ..spec() };
    assert_eq!(ColdLimit::new(&spec(None), BOUNDS), None);
    assert_eq!(ColdLimit::new(&spec(Some(zero)), BOUNDS), None);
    let mut registry = EndpointRegistry::default();
    let change = EndpointChange::Written(entry("a", 1, Some(3_000)));
    registry.apply_change(change, Timestamp::ZERO);
    let choice = place(&mut registry, Timestamp::ZERO, &mut seeded_rng(1));
    assert!(matches!(choice, Choice::Placed(_)));
}

/// A rate whose double exceeds the bound is lowered.
#[test]
fn narrow_bounds_lower_the_rate() {
    let bounds = ColdBounds { overage: 1.0, allowance: 2.0 };
    let limit = ColdLimit::new(&spec(), bounds).unwrap();
    assert!((limit.per_s - 3.2).abs() < 1e-9, "{}", limit.per_s);
}
