//! Tests of the failure detector under message loss, partitions, pauses and restarts, in
//! simulated time.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use membership::MemberState;
use standins::{PeerNetwork, StateChange, router_name};
use types::Incarnation;

/// Number of routers in most tests, the same as in an existing deployment.
const ROUTERS: usize = 8;

/// Time within which all routers must detect a death.
const DETECTION_TIME_MAX: Duration = Duration::from_secs(5);

fn start(seed: u64) -> PeerNetwork {
    let mut network = PeerNetwork::new(ROUTERS, seed);
    assert!(network.run_until_converged(Duration::from_secs(10)));
    network.take_changes();
    network
}

fn deaths(changes: &[StateChange]) -> Vec<&StateChange> {
    changes.iter().filter(|it| it.state == MemberState::Dead).collect()
}

fn cut_both_ways(network: &mut PeerNetwork, left: &[usize], right: &[usize]) {
    for &a in left {
        for &b in right {
            network.cut(a, b);
            network.cut(b, a);
        }
    }
}

#[test]
fn no_live_router_is_declared_dead_at_10_percent_loss() {
    let mut network = start(1);
    network.set_loss(0.1);
    network.run_for(Duration::from_secs(10_000));
    let changes = network.take_changes();
    assert_eq!(deaths(&changes), Vec::<&StateChange>::new());
    assert!(
        changes.iter().any(|it| it.state == MemberState::Suspect),
        "message loss must cause suspicions"
    );
}

#[test]
fn dead_router_is_detected_by_all() {
    for (seed, loss) in (0..20).flat_map(|seed| [(seed, 0.0), (seed, 0.1)]) {
        let mut network = start(seed);
        network.set_loss(loss);
        network.run_for(Duration::from_secs(1));
        network.kill(3);
        network.run_for(DETECTION_TIME_MAX);
        for observer in (0..ROUTERS).filter(|&it| it != 3) {
            let view = network.view(observer);
            assert!(view.find(&router_name(3)).is_none(), "seed {seed} loss {loss}");
        }
    }
}

#[test]
fn dead_router_is_detected_in_a_larger_fleet_under_loss() {
    for seed in 0..4 {
        let mut network = PeerNetwork::new(64, seed);
        assert!(network.run_until_converged(Duration::from_secs(10)));
        network.set_loss(0.1);
        network.run_for(Duration::from_secs(30));
        network.kill(3);
        network.run_for(DETECTION_TIME_MAX);
        for observer in (0..64).filter(|&it| it != 3) {
            assert!(network.view(observer).find(&router_name(3)).is_none(), "seed {seed}");
        }
    }
}

#[test]
fn routers_that_die_together_are_detected_by_the_survivor() {
    let mut network = start(2);
    for router in 1..ROUTERS {
        network.kill(router);
    }
    network.run_for(DETECTION_TIME_MAX);
    assert_eq!(network.view(0).others, []);
}

#[test]
fn router_that_one_other_cannot_reach_stays_alive() {
    let mut network = start(3);
    cut_both_ways(&mut network, &[1], &[2]);
    network.run_for(Duration::from_secs(600));
    assert_eq!(deaths(&network.take_changes()), Vec::<&StateChange>::new());
}

#[test]
fn router_that_receives_nothing_is_declared_dead_and_causes_no_other_deaths() {
    let mut network = start(4);
    for router in (0..ROUTERS).filter(|&it| it != 5) {
        network.cut(router, 5);
    }
    network.run_for(Duration::from_secs(60));
    let changes = network.take_changes();
    let declared_by_others = |it: &&StateChange| it.observer != 5 && it.state == MemberState::Dead;
    let dead: Vec<_> = changes.iter().filter(declared_by_others).map(|it| &it.id.name).collect();
    assert!(!dead.is_empty());
    assert!(dead.iter().all(|name| **name == router_name(5)), "{dead:?}");

    network.heal();
    assert!(network.run_until_converged(Duration::from_secs(20)));
}

#[test]
fn paused_router_causes_no_false_deaths_when_resumed() {
    for span in [1, 3, 60] {
        let mut network = start(5);
        network.pause(2);
        network.run_for(Duration::from_secs(span));
        network.take_changes();
        network.resume(2);
        assert!(network.run_until_converged(Duration::from_secs(10)), "{span} s");
        let changes = network.take_changes();
        let dead = deaths(&changes);
        assert!(dead.iter().all(|it| it.id.name == router_name(2)), "{span} s: {dead:?}");
    }
}

#[test]
fn restarted_router_replaces_its_previous_process_and_stays_alive() {
    let mut network = start(6);
    network.kill(4);
    network.run_for(Duration::from_millis(300));
    network.restart(4, 2);
    assert!(network.run_until_converged(Duration::from_secs(5)));
    network.run_for(Duration::from_secs(60));
    for observer in 0..ROUTERS {
        let view = network.view(observer);
        assert_eq!(view.find(&router_name(4)).unwrap().id.incarnation, Incarnation(2));
    }
    let changes = network.take_changes();
    let new_process_changes = changes.iter().filter(|it| it.id.incarnation == Incarnation(2));
    assert!(new_process_changes.into_iter().all(|it| it.state != MemberState::Dead));
}

#[test]
fn leaving_router_stays_leaving_until_it_is_dead() {
    let mut network = start(7);
    network.leave(6);
    network.run_for(Duration::from_secs(1));
    for observer in 0..ROUTERS {
        let view = network.view(observer);
        assert_eq!(view.find(&router_name(6)).unwrap().state, MemberState::Leaving);
        assert!(view.serving().all(|it| it.id.name != router_name(6)));
    }
    network.run_for(Duration::from_secs(30));
    assert_eq!(deaths(&network.take_changes()), Vec::<&StateChange>::new());
    network.kill(6);
    network.run_for(DETECTION_TIME_MAX);
    assert!(network.is_converged(MemberState::Alive));
}

#[test]
fn healed_partition_merges_the_views() {
    for (seed, span) in [(8, 5), (9, 60), (10, 1_800)] {
        let mut network = start(seed);
        cut_both_ways(&mut network, &[0, 1, 2], &[3, 4, 5, 6, 7]);
        network.run_for(Duration::from_secs(span));
        assert_eq!(network.view(0).others.len(), 2, "{span} s");
        assert_eq!(network.view(7).others.len(), 4, "{span} s");
        network.heal();
        network.take_changes();
        assert!(network.run_until_converged(Duration::from_secs(10)), "{span} s");
        network.run_for(Duration::from_secs(60));
        let changes = network.take_changes();
        assert_eq!(deaths(&changes), Vec::<&StateChange>::new(), "{span} s");
    }
}

#[test]
fn messages_of_a_router_do_not_grow_with_the_number_of_members() {
    let messages_per_second = |members| {
        let mut network = PeerNetwork::new(members, 11);
        assert!(network.run_until_converged(Duration::from_secs(60)));
        network.run_for(Duration::from_secs(60));
        let before = network.traffic(1).sent_messages;
        network.run_for(Duration::from_secs(60));
        (network.traffic(1).sent_messages - before) / 60
    };
    let (few, many) = (messages_per_second(8), messages_per_second(64));
    assert!(many <= few + few / 10, "{few} and {many}");
}
