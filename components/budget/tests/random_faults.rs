//! Random sequences of events and faults. The scene checks the invariant of the table and the spent
//! tokens after every step.

mod scene;

use std::time::Duration;

use budget::GrantRecoveryPolicy;
use fleet_fakes::{FleetFaults, RouterState};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, TestRng, TestRunner},
};
use scene::Scene;
use types::Tokens;

const DOMAINS: [&str; 5] = ["zlin", "kromeriz", "vsetin", "brod", "zlin"];

/// Maximum number of routers that die in one run; fewer than the copies of a durable bill.
const KILLS_MAX: usize = 2;

/// One step of a random run.
#[derive(Debug, Clone)]
enum Op {
    Wait(u64),
    Reserve {
        router: usize,
        tokens: u64,
        wait_ms: u64,
    },
    Settle {
        router: usize,
        percent: u64,
    },
    Release(usize),
    TableDown(bool),
    Faults {
        lost_answers: bool,
        late_commits: bool,
        messages: bool,
    },
    /// Puts router `n` on the side given by bit `n` of `sides`. The table is on `table_side`, or
    /// reachable from both sides if that is 2.
    Partition {
        sides: u8,
        table_side: u8,
    },
    Kill {
        router: usize,
        restart: bool,
    },
    Pause(usize),
    Resume(usize),
    Deposit(u64),
}

fn any_op() -> impl Strategy<Value = Op> {
    let router = 0..DOMAINS.len();
    prop_oneof![
        6 => (1_u64..4_000).prop_map(Op::Wait),
        8 => (router.clone(), 1_u64..3_000, 0_u64..8_000)
            .prop_map(|(router, tokens, wait_ms)| Op::Reserve { router, tokens, wait_ms }),
        6 => (router.clone(), 0_u64..=100).prop_map(|(router, percent)| Op::Settle { router, percent }),
        2 => router.clone().prop_map(Op::Release),
        2 => any::<bool>().prop_map(Op::TableDown),
        2 => any::<(bool, bool, bool)>().prop_map(|(lost_answers, late_commits, messages)| {
            Op::Faults { lost_answers, late_commits, messages }
        }),
        2 => (0_u8..32, 0_u8..3).prop_map(|(sides, table_side)| Op::Partition { sides, table_side }),
        1 => (router.clone(), any::<bool>()).prop_map(|(router, restart)| Op::Kill { router, restart }),
        2 => router.clone().prop_map(Op::Pause),
        2 => router.prop_map(Op::Resume),
        1 => (1_u64..5_000).prop_map(Op::Deposit),
    ]
}

fn apply(scene: &mut Scene, op: &Op, kills: &mut usize) {
    match *op {
        Op::Wait(ms) => scene.run(Duration::from_millis(ms)),
        Op::Reserve { router, tokens, wait_ms } => {
            scene.reserve(router, tokens, Duration::from_millis(wait_ms));
        }
        Op::Settle { router, percent } => {
            if let Some((reservation, tokens)) = scene.any_reservation(router) {
                scene.settle(router, reservation, tokens.0 * percent / 100);
            }
        }
        Op::Release(router) => {
            if let Some((reservation, _)) = scene.any_reservation(router) {
                scene.release(router, reservation);
            }
        }
        Op::TableDown(down) => scene.fleet.faults.table_down = down,
        Op::Faults { lost_answers, late_commits, messages } => {
            let probability = |is_on: bool| if is_on { 0.3 } else { 0.0 };
            scene.fleet.faults.lost_answers = probability(lost_answers);
            scene.fleet.faults.late_commits = probability(late_commits);
            scene.fleet.faults.lost_messages = probability(messages);
            scene.fleet.faults.duplicated_messages = probability(messages);
        }
        Op::Partition { sides, table_side } => {
            for router in 0..DOMAINS.len() {
                let side = (sides >> router) & 1;
                scene.fleet.set_side(router, side, side == table_side || table_side == 2);
            }
        }
        Op::Kill { router, restart } => {
            if *kills < KILLS_MAX && scene.fleet.state(router) != RouterState::Dead {
                *kills += 1;
                scene.kill(router);
                if restart {
                    scene.fleet.restart(router);
                }
            }
        }
        Op::Pause(router) => scene.fleet.pause(router),
        Op::Resume(router) => scene.fleet.resume(router),
        Op::Deposit(tokens) => {
            let account = scene.account.clone();
            scene.fleet.deposit(&account, Tokens(tokens));
        }
    }
}

fn clear_faults(scene: &mut Scene) {
    scene.fleet.faults = FleetFaults::default();
    for router in 0..DOMAINS.len() {
        scene.fleet.set_side(router, 0, true);
        scene.fleet.resume(router);
    }
}

/// Ends all reservations and drains all routers. Only grants of dead router processes may remain.
fn release_and_drain_all(scene: &mut Scene, kills: usize) {
    clear_faults(scene);
    scene.run(Duration::from_secs(60));
    for router in 0..DOMAINS.len() {
        while let Some((reservation, _)) = scene.any_reservation(router) {
            scene.release(router, reservation);
        }
    }
    scene.run(Duration::from_secs(60));
    scene.check_durable_bills();
    for router in 0..DOMAINS.len() {
        scene.fleet.send(router, budget::Event::Drain);
    }
    scene.run(Duration::from_secs(60));
    for row in scene.grant_rows() {
        let is_dead = (0..DOMAINS.len()).all(|router| {
            scene.fleet.router_id(router) != row.router
                || scene.fleet.state(router) == RouterState::Dead
        });
        assert!(is_dead, "{row:?}");
    }
    if kills == 0 {
        assert_eq!(scene.fleet.budget(&scene.account).granted, Tokens::ZERO);
    }
}

fn check_policy(policy: GrantRecoveryPolicy, cases: u32) {
    let config = ProptestConfig { cases, failure_persistence: None, ..ProptestConfig::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let runs = (proptest::collection::vec(any_op(), 10..80), 500_u64..40_000, any::<u64>());
    runner
        .run(&runs, |(ops, deposit, seed)| {
            let mut scene = Scene::start(policy, &DOMAINS, deposit, seed);
            let mut kills = 0;
            for op in &ops {
                apply(&mut scene, op, &mut kills);
            }
            release_and_drain_all(&mut scene, kills);
            Ok(())
        })
        .unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn witnessed_ceilings_never_overspend_and_lose_no_bill() {
    check_policy(GrantRecoveryPolicy::WitnessedCeilings, 40);
}

#[test]
fn small_grants_never_overspend_and_lose_no_bill() {
    check_policy(GrantRecoveryPolicy::SmallGrants, 16);
}
