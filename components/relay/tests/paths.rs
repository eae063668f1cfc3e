//! Tests how a router tells endpoints that are down from network paths that are cut, and through which
//! other routers it reaches endpoints.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{sync::Arc, time::Duration};

use relay::reach::{Path, PathBook, PeerCandidate, choose_peer};
use types::Timestamp;
use utils::{HashMap, Rng, seeded_rng};

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(millis)
}

fn name(text: &str) -> Arc<str> {
    Arc::from(text)
}

struct World {
    paths: PathBook,
    rng: Rng,
}

impl World {
    fn new() -> World {
        World { paths: PathBook::default(), rng: seeded_rng(3) }
    }

    fn block(&mut self, endpoint: &str, millis: u64) -> bool {
        self.paths.record_blocked(&name("svc"), &name(endpoint), at(millis), &mut self.rng)
    }

    fn path(&mut self, service: &str, endpoint: &str, millis: u64) -> Path {
        self.paths.path(service, endpoint, at(millis), &mut self.rng)
    }
}

/// Guards against tunnels to all endpoints because of a single blocked path.
#[test]
fn one_blocked_endpoint_does_not_cut_the_service_off() {
    let mut world = World::new();
    assert!(!world.block("a", 0));
    assert!(!world.block("a", 10), "the same endpoint counts once");
    assert_eq!(world.path("svc", "a", 20), Path::ThroughPeer { is_trial_due: false });
    assert_eq!(world.path("svc", "b", 20), Path::Direct);
}

/// Guards against requests that each wait for a connection of their own while the router is cut off.
#[test]
fn two_blocked_endpoints_cut_the_service_off_until_a_connection_succeeds() {
    let mut world = World::new();
    world.block("a", 0);
    assert!(world.block("b", 10));
    assert!(!world.block("c", 20), "it is cut off already");
    assert_eq!(world.paths.cut_off_services(), [name("svc")]);
    assert_eq!(world.path("svc", "d", 30), Path::ThroughPeer { is_trial_due: false });
    assert_eq!(world.path("other", "x", 30), Path::Direct);
    assert!(world.paths.record_direct(&name("svc"), "a", at(900)));
    assert!(world.paths.cut_off_services().is_empty());
    assert_eq!(world.path("svc", "d", 910), Path::Direct);
    assert_eq!(world.path("svc", "b", 910), Path::ThroughPeer { is_trial_due: true });
}

/// Guards against a partial cut that counts as a whole one: connections succeed in between.
#[test]
fn endpoints_blocked_before_the_last_connection_do_not_count() {
    let mut world = World::new();
    world.block("a", 0);
    world.paths.record_direct(&name("svc"), "b", at(10));
    assert!(!world.block("c", 20));
    assert!(world.block("d", 30));
}

/// Guards against a herd of connection attempts during a cut.
#[test]
fn trials_are_rare_while_requests_are_many() {
    let mut world = World::new();
    world.block("a", 0);
    world.block("b", 0);
    let paths = (0..10_000).map(|millis| world.path("svc", "a", millis)).collect::<Vec<_>>();
    let trials = paths.iter().filter(|it| **it == Path::ThroughPeer { is_trial_due: true }).count();
    assert!((13..=40).contains(&trials), "{trials} trials in ten seconds");
}

/// Guards against tunnels that go on after the blocked endpoints are gone.
#[test]
fn endpoints_that_are_gone_are_forgotten() {
    let mut world = World::new();
    world.block("a", 0);
    world.block("b", 0);
    world.paths.prune(|_| false, |_| true);
    assert_eq!(world.path("svc", "c", 10), Path::Direct);
    assert!(world.paths.cut_off_services().is_empty());
}

/// Guards against tunnels through routers that are cut off themselves, and against avoiding them for
/// longer than they are.
#[test]
fn peers_that_cannot_help_are_left_out_for_a_while() {
    let mut world = World::new();
    let (peer, services) = (name("r"), [name("svc")].into_iter().collect());
    assert!(world.paths.is_usable_peer("r", "svc", at(0)));
    world.paths.record_peer_statement(&peer, services, utils::HashSet::default(), at(0));
    assert!(!world.paths.is_usable_peer("r", "svc", at(300)));
    assert!(world.paths.is_usable_peer("r", "other", at(300)));
    assert!(world.paths.is_usable_peer("r", "svc", at(1_300)), "the statement is outdated");
    let none = utils::HashSet::default;
    world.paths.record_peer_statement(&peer, none(), none(), at(1_400));
    assert!(world.paths.is_usable_peer("r", "svc", at(1_400)));
    world.paths.avoid_peer(&peer, &name("svc"), at(1_500));
    assert!(!world.paths.is_usable_peer("r", "svc", at(1_600)));
    assert!(world.paths.is_usable_peer("r", "svc", at(2_500)));
}

fn candidate(number: u16, failure_domain: &str, tunnels: usize) -> PeerCandidate {
    PeerCandidate {
        name: name(&format!("router-{number}")),
        address: ([127, 0, 0, 1], number).into(),
        failure_domain: name(failure_domain),
        tunnels,
        is_reaching: false,
    }
}

/// Guards against a fleet of which most routers are cut off: those that do not know it yet are asked
/// for paths by all others, and nobody finds the few that reach endpoints.
#[test]
fn cut_off_router_finds_the_few_that_reach_endpoints() {
    let mut rng = seeded_rng(5);
    let mut world = World::new();
    let services = || [name("svc")].into_iter().collect();
    let reaching = name("router-17");
    world.paths.record_peer_statement(&reaching, utils::HashSet::default(), services(), at(0));
    let peers: Vec<PeerCandidate> = (0..19)
        .map(|it| {
            let peer = candidate(it, if it < 10 { "near" } else { "far" }, 0);
            let is_reaching = world.paths.is_reaching_peer(&peer.name, "svc", at(300));
            PeerCandidate { is_reaching, ..peer }
        })
        .collect();
    for _ in 0..20 {
        assert_eq!(choose_peer(&peers, "near", &[], &mut rng).unwrap().name, reaching);
    }
    assert!(!world.paths.is_reaching_peer("router-17", "other", at(300)));
    assert!(!world.paths.is_reaching_peer("router-17", "svc", at(1_300)), "outdated");
}

/// Guards against statements by routers that no longer reach the endpoints.
#[test]
fn router_says_that_it_reaches_a_service_only_while_it_does() {
    let mut world = World::new();
    world.paths.record_answer(&name("svc"), at(0));
    assert_eq!(world.paths.reached_services(at(1_000)), [name("svc")]);
    assert!(world.paths.reached_services(at(1_300)).is_empty());
    world.paths.record_direct(&name("svc"), "e-0", at(1_400));
    assert_eq!(world.paths.reached_services(at(1_500)), [name("svc")]);
    for endpoint in ["e-1", "e-2"] {
        let rng = &mut world.rng;
        world.paths.record_blocked(&name("svc"), &name(endpoint), at(1_600), rng);
    }
    assert!(world.paths.reached_services(at(1_700)).is_empty());
}

/// Guards against all tunnels through one router, and against traffic between failure domains that
/// is not needed.
#[test]
fn tunnels_spread_over_the_routers_near_the_endpoint() {
    let mut rng = seeded_rng(5);
    let mut peers: Vec<PeerCandidate> =
        (0..6).map(|it| candidate(it, if it < 3 { "near" } else { "far" }, 0)).collect();
    let mut chosen: HashMap<Arc<str>, usize> = HashMap::default();
    for _ in 0..30 {
        let peer = choose_peer(&peers, "near", &[], &mut rng).unwrap().name.clone();
        *chosen.entry(peer.clone()).or_default() += 1;
        peers.iter_mut().find(|it| it.name == peer).unwrap().tunnels += 1;
    }
    assert_eq!(chosen.len(), 3);
    assert!(chosen.values().all(|it| *it == 10), "{chosen:?}");
}

/// Guards against asking only routers that the same cut affects.
#[test]
fn second_peer_is_in_another_failure_domain() {
    let mut rng = seeded_rng(5);
    let peers = [candidate(0, "near", 0), candidate(1, "far", 9)];
    let chosen = choose_peer(&peers, "near", &[name("near")], &mut rng).unwrap();
    assert_eq!(*chosen.failure_domain, *"far");
    assert_eq!(choose_peer(&[], "near", &[], &mut rng), None);
}
