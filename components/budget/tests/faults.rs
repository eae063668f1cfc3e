//! Tests of single faults. The scene checks the invariant of the table and the spent tokens after
//! every step.

mod scene;

use std::time::Duration;

use budget::{
    Answer, Event, GrantRecoveryPolicy, budget_key, grant_key, list_in_doubt, resolve_in_doubt,
};
use errors::ErrorKind;
use fleet_fakes::{FleetFaults, Step};
use platform::{Commit, Write};
use scene::Scene;
use types::Tokens;

const DOMAINS: [&str; 4] = ["zlin", "kromeriz", "vsetin", "brod"];
const SECOND: Duration = Duration::from_secs(1);

fn start(deposit: u64) -> Scene {
    let mut scene = Scene::start(GrantRecoveryPolicy::WitnessedCeilings, &DOMAINS, deposit, 7);
    scene.run(SECOND);
    scene
}

fn set_faults(scene: &mut Scene, faults: FleetFaults) {
    scene.fleet.faults = faults;
}

fn refusal_kind(answer: &Answer) -> Option<ErrorKind> {
    match answer {
        Answer::Reserved(Err(error)) => Some(error.kind()),
        _ => None,
    }
}

#[test]
fn lost_and_late_commits_bill_each_request_once() {
    let mut scene = start(100_000);
    let faults = FleetFaults { lost_answers: 0.5, late_commits: 0.4, ..FleetFaults::default() };
    set_faults(&mut scene, faults);
    for _ in 0..20 {
        let reservation = scene.reserve_now(0, 1_000).unwrap();
        scene.settle(0, reservation, 700);
        scene.run(SECOND);
    }
    set_faults(&mut scene, FleetFaults::default());
    scene.run(10 * SECOND);
    assert_eq!(scene.fleet.budget(&scene.account).settled, Tokens(14_000));
    assert!(scene.settled.iter().all(Result::is_ok));
}

#[test]
fn paused_router_that_resumes_spends_only_up_to_its_ceiling() {
    let mut scene = start(10_000);
    let reservation = scene.reserve_now(0, 2_000).unwrap();
    scene.fleet.pause(0);
    scene.run(30 * SECOND);
    // The tokens that the paused router may not spend any more are back in the budget.
    let other = scene.reserve_now(1, 7_900).expect("the other tokens are back in the budget");
    scene.settle(1, other, 7_900);
    scene.run(5 * SECOND);
    scene.fleet.resume(0);
    scene.settle(0, reservation, 2_000);
    scene.run(20 * SECOND);
    assert_eq!(scene.fleet.budget(&scene.account).settled, Tokens(9_900));
    assert_eq!(scene.reserve_now(0, 200), None);
}

#[test]
fn witness_that_has_closed_a_grant_acknowledges_no_higher_ceiling() {
    let mut scene = start(10_000);
    scene.reserve_now(0, 2_000).unwrap();
    scene.run(10 * SECOND);
    assert!(scene.fleet.snapshot(0)[0].unspent > Tokens(3_000));
    scene.fleet.pause(0);
    scene.run(30 * SECOND);
    scene.reserve_now(1, 7_900).expect("the other tokens are back in the budget");
    // The router resumes. It reaches its witness but cannot read its grant row.
    scene.fleet.set_side(0, 0, false);
    scene.fleet.resume(0);
    assert_eq!(scene.reserve_now(0, 1_000), None);
}

#[test]
fn bill_of_a_router_that_dies_during_a_table_outage_is_committed_by_a_holder() {
    let mut scene = start(10_000);
    let reservation = scene.reserve_now(0, 2_000).unwrap();
    scene.fleet.faults.table_down = true;
    scene.settle(0, reservation, 1_500);
    scene.run(SECOND);
    assert!(scene.bills.values().all(|submitted| submitted.is_durable));
    scene.kill(0);
    scene.run(10 * SECOND);
    assert_eq!(scene.billed(), Tokens::ZERO);
    scene.fleet.faults.table_down = false;
    scene.run(20 * SECOND);
    scene.check_durable_bills();
    assert_eq!(scene.fleet.budget(&scene.account).settled, Tokens(1_500));
}

#[test]
fn bill_without_two_holders_and_without_the_table_is_not_reported_durable() {
    let mut scene = start(10_000);
    let reservation = scene.reserve_now(0, 2_000).unwrap();
    scene.fleet.set_side(0, 1, false);
    scene.settle(0, reservation, 1_500);
    scene.run(25 * SECOND);
    let kind = scene.settled[0].as_ref().unwrap_err().kind();
    assert_eq!(kind, ErrorKind::BillNotDurable);
    scene.fleet.set_side(0, 0, true);
    scene.run(20 * SECOND);
    assert_eq!(scene.billed(), Tokens(1_500), "the request has run and is billed");
}

#[test]
fn routers_lend_leftover_tokens_despite_lost_and_duplicate_messages_and_a_table_outage() {
    let mut scene = start(12_000);
    for router in 0..DOMAINS.len() {
        let reservation = scene.reserve_now(router, 1_000).unwrap();
        scene.release(router, reservation);
    }
    scene.run(5 * SECOND);
    let held = scene.fleet.snapshot(0)[0].unspent;
    let faults = FleetFaults {
        table_down: true,
        lost_messages: 0.3,
        duplicated_messages: 0.3,
        ..FleetFaults::default()
    };
    set_faults(&mut scene, faults);
    scene.run(5 * SECOND);
    let wanted = held.0 + 1_500;
    let reservation = scene.reserve_now(0, wanted).expect("peers lend the missing tokens");
    scene.settle(0, reservation, wanted);
    set_faults(&mut scene, FleetFaults::default());
    scene.run(30 * SECOND);
    assert_eq!(scene.fleet.budget(&scene.account).settled, Tokens(wanted));
}

#[test]
fn deposit_is_usable_only_on_the_side_of_a_partition_that_reaches_the_table() {
    let mut scene = start(1_000);
    let first = scene.reserve_now(0, 1_000).unwrap();
    scene.settle(0, first, 1_000);
    scene.run(5 * SECOND);
    scene.fleet.set_side(2, 1, false);
    scene.fleet.set_side(3, 1, false);
    let account = scene.account.clone();
    scene.fleet.deposit(&account, Tokens(5_000));
    scene.run(5 * SECOND);
    assert!(scene.reserve_now(0, 2_000).is_some());
    assert_eq!(scene.reserve_now(2, 2_000), None);
    scene.fleet.set_side(2, 0, true);
    scene.run(5 * SECOND);
    assert!(scene.reserve_now(2, 2_000).is_some());
}

#[test]
fn request_waits_for_a_release_and_is_refused_at_once_if_none_can_help() {
    let mut scene = start(1_000);
    let reservation = scene.reserve_now(0, 800).unwrap();
    let ticket = scene.reserve(0, 800, 10 * SECOND);
    scene.run(2 * SECOND);
    assert!(scene.answers.iter().all(|(it, _)| *it != ticket));
    scene.release(0, reservation);
    scene.run(SECOND);
    assert!(scene.answers.contains(&(ticket, Ok(Tokens(800)))));
    for tokens in [1_001, u64::MAX] {
        let ticket = scene.reserve(1, tokens, 60 * SECOND);
        scene.run(SECOND);
        assert!(scene.answers.contains(&(ticket, Err(ErrorKind::BudgetExhausted))));
    }
}

#[test]
fn draining_router_returns_everything() {
    let mut scene = start(50_000);
    let reservation = scene.reserve_now(0, 3_000).unwrap();
    scene.settle(0, reservation, 1_000);
    scene.run(SECOND);
    scene.fleet.send(0, Event::Drain);
    scene.run(5 * SECOND);
    assert!(scene.fleet.is_drained(0));
    let budget = scene.fleet.budget(&scene.account);
    assert_eq!((budget.settled, budget.granted), (Tokens(1_000), Tokens::ZERO));
}

#[test]
fn undecodable_budget_row_refuses_requests_and_loses_no_bill() {
    let mut scene = start(50_000);
    let reservation = scene.reserve_now(0, 3_000).unwrap();
    let key = budget_key(&scene.account);
    let valid = scene.fleet.table().read(&key).unwrap();
    let put = |value: &str| Write { key: key.clone(), value: Some(value.into()) };
    for value in
        ["{", r#"{"deposited":1,"settled":0,"granted":0,"later":1}"#, r#"{"deposited":-1}"#]
    {
        scene.fleet.commit_directly(&Commit { writes: vec![put(value)], ..Commit::default() });
        let account = scene.account.clone();
        let (ticket, tokens) = (1_000_000, Tokens(60_000));
        let wait_until = scene.now() + 5 * SECOND;
        scene.fleet.send(1, Event::Reserve { ticket, account, tokens, wait_until });
        let mut kinds = Vec::new();
        for _ in 0..1_000 {
            if let Step::Answers(1, answers) = scene.fleet.step() {
                kinds.extend(answers.into_iter().map(|(_, answer)| refusal_kind(&answer)));
            }
        }
        assert_eq!(kinds, [Some(ErrorKind::StoreUnavailable)]);
    }
    scene.fleet.commit_directly(&Commit { writes: vec![put(&valid.value)], ..Commit::default() });
    scene.settle(0, reservation, 2_000);
    scene.run(10 * SECOND);
    assert_eq!(scene.fleet.budget(&scene.account).settled, Tokens(2_000));
}

#[test]
fn bill_that_does_not_fit_its_reservation_is_refused() {
    let mut scene = start(50_000);
    let reservation = scene.reserve_now(0, 1_000).unwrap();
    scene.settle(0, reservation, 1_001);
    scene.run(SECOND);
    assert_eq!(scene.settled[0].as_ref().unwrap_err().kind(), ErrorKind::Internal);
    scene.bills.clear();
    assert_eq!(scene.fleet.budget(&scene.account).settled, Tokens::ZERO);
}

#[test]
fn tokens_in_doubt_of_a_dead_router_with_a_dead_witness_are_listed_and_resolved() {
    let mut scene = start(10_000);
    scene.reserve_now(0, 2_000).unwrap();
    let witness = scene.grant_rows()[0].witness.clone().unwrap();
    let dead = scene.fleet.router_id(0);
    let witness_index =
        (0..DOMAINS.len()).find(|it| scene.fleet.router_id(*it) == witness).unwrap();
    scene.kill(0);
    scene.kill(witness_index);
    scene.run(30 * SECOND);
    let account = scene.account.clone();
    let live: Vec<_> = (1..DOMAINS.len())
        .filter(|it| *it != witness_index)
        .map(|it| scene.fleet.router_id(it))
        .collect();
    let rows = scene.fleet.table().scan(&budget::grant_prefix(&account), None);
    let in_doubt = list_in_doubt(&account, &rows, &live);
    let entry = in_doubt[0].as_ref().unwrap();
    assert_eq!((&entry.router, entry.since_unix_ms), (&dead, None));
    let budget_row = scene.fleet.table().read(&budget_key(&account));
    let grant_row = scene.fleet.table().read(&grant_key(&account, &dead));
    let rows = (budget_row.as_ref(), grant_row.as_ref());
    let commit = resolve_in_doubt(&account, &dead, Tokens(500), rows, &live, 9).unwrap();
    scene.fleet.commit_directly(&commit);
    let budget = scene.fleet.budget(&account);
    assert_eq!((budget.settled, budget.granted), (Tokens(500), Tokens::ZERO));
    let again = resolve_in_doubt(&account, &dead, Tokens(0), rows, std::slice::from_ref(&dead), 9);
    assert!(again.is_err());
}
