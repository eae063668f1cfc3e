//! Takeover of a router's tokens by its next process after a crash, step by step.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

use std::{sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Precondition, Revision, Row, StoreTime};
use relay::{
    allowance::{
        CAP_TIME, CommitInputs, HOLDINGS_PREFIX, HoldingsRow, RouterAllowances, RouterProcess,
        Shortage, Stage, UNWITNESSED_TIME, WitnessRecords, WitnessStatement,
    },
    model::Account,
};
use types::Timestamp;
use utils::HashMap;

const ACCOUNT: &str = "school";
const LIMIT: u64 = 60_000;

fn witness() -> RouterProcess {
    RouterProcess { router: "router-2".into(), process: 2 }
}

fn other_witness() -> RouterProcess {
    RouterProcess { router: "router-3".into(), process: 3 }
}

fn accounts_with(limit: u64) -> HashMap<Arc<str>, Arc<Account>> {
    let account = Account { name: ACCOUNT.into(), priority: None, prepaid_tokens: Some(limit) };
    [(Arc::from("key"), Arc::new(account))].into_iter().collect()
}

fn new_allowances(process: u64) -> RouterAllowances {
    let mut allowances = RouterAllowances::new("router-1".into(), process);
    allowances.set_accounts(&accounts_with(LIMIT), 1);
    allowances
}

/// The rows of the store, and its current revision.
#[derive(Default)]
struct Store {
    rows: Vec<Row>,
    revision: u64,
}

impl Store {
    fn commit(&mut self, commit: &Commit) -> CommitOutcome {
        for it in &commit.preconditions {
            let found = self.rows.iter().find(|row| row.key == *it.key()).map(|row| row.revision);
            let expected = match it {
                Precondition::Absent(_) => None,
                Precondition::Revision(_, revision) => Some(*revision),
            };
            if found != expected {
                return CommitOutcome::Conflict(it.key().clone());
            }
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        for write in &commit.writes {
            self.rows.retain(|row| row.key != write.key);
            let value = write.value.clone().expect("no row is deleted in this test");
            self.rows.push(Row { key: write.key.clone(), revision, value });
        }
        CommitOutcome::Committed(revision)
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn inputs(millis: u64, stage: Stage) -> CommitInputs {
    CommitInputs {
        routers: 1,
        stage,
        store_time: Some(StoreTime { millis, age: Duration::ZERO }),
        now: at(millis),
    }
}

/// Lets a process read the rows if needed and commit once; returns whether it had a commit. The
/// store's clock shows the same time as the test's.
fn sync_with_store(allowances: &mut RouterAllowances, store: &mut Store, millis: u64) -> bool {
    let inputs = inputs(millis, Stage::Serving);
    if allowances.must_read_rows(at(millis)) {
        allowances.apply_rows(&store.rows, &store.rows, at(millis));
    }
    let Some(commit) = allowances.next_commit(&inputs) else { return false };
    let outcome = store.commit(&commit);
    allowances.on_outcome(&outcome, false, at(millis));
    true
}

/// Returns how many of the held tokens an idle router neither spends nor lends until its declaration
/// has this age.
fn kept_when_idle(held: u64, age_ms: u64) -> u64 {
    let unwitnessed_ms = UNWITNESSED_TIME.as_millis() as u64;
    let later_ms = age_ms.saturating_sub(unwitnessed_ms);
    let grown = held / 32 * (age_ms - later_ms) / 1_000 + held / 4 * later_ms / 1_000;
    held - held / 16 - grown
}

/// Returns the time, in milliseconds, at which the declaration of [`declared_router`] has an age.
fn at_age(age: Duration) -> u64 {
    600 + age.as_millis() as u64
}

/// Returns the allowances of a process that has drawn tokens, declared them and named its
/// witnesses.
fn declared_router(store: &mut Store) -> RouterAllowances {
    let mut allowances = new_allowances(1);
    allowances.choose_witnesses(&[witness(), other_witness()]);
    for millis in [0, 10, 600] {
        sync_with_store(&mut allowances, store, millis);
    }
    allowances
}

#[test]
fn process_that_starts_soon_takes_over_the_kept_tokens() {
    let mut store = Store::default();
    let first = declared_router(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    let mut second = new_allowances(3);
    sync_with_store(&mut second, &mut store, 1_500);
    assert_eq!(second.account(ACCOUNT).unwrap().held(), kept_when_idle(held, 900));
}

#[test]
fn process_that_has_taken_over_tokens_may_spend_some_at_once() {
    let mut store = Store::default();
    let _first = declared_router(&mut store);
    let mut second = new_allowances(3);
    sync_with_store(&mut second, &mut store, 1_500);
    let account = second.account(ACCOUNT).unwrap();
    let (held, available) = (account.held(), account.available(at(1_510)));
    assert!(available * 4 >= held, "{available} of {held} may be spent before the next commit");
}

#[test]
fn process_that_starts_late_waits_for_the_statements_of_the_witnesses() {
    let mut store = Store::default();
    let first = declared_router(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    let late = at_age(UNWITNESSED_TIME);
    let mut second = new_allowances(3);
    assert!(!sync_with_store(&mut second, &mut store, late));
    let (asked, about) = second.witness_query().expect("the witnesses are asked");
    assert_eq!(asked, [witness(), other_witness()]);
    second.on_witness_statement(&witness(), &about, &WitnessStatement::Nothing);
    assert!(!sync_with_store(&mut second, &mut store, late + 5), "one statement is not enough");
    second.on_witness_statement(&other_witness(), &about, &WitnessStatement::Nothing);
    sync_with_store(&mut second, &mut store, late + 10);
    assert_eq!(second.account(ACCOUNT).unwrap().held(), kept_when_idle(held, 3_200));
}

#[test]
fn without_witness_statements_all_tokens_count_as_spent() {
    let mut store = Store::default();
    declared_router(&mut store);
    let late = at_age(CAP_TIME);
    for statement in [None, Some(WitnessStatement::Forgotten)] {
        let mut second = new_allowances(3);
        sync_with_store(&mut second, &mut store, late);
        if let (Some(statement), Some((asked, about))) = (statement, second.witness_query()) {
            asked.iter().for_each(|it| second.on_witness_statement(it, &about, &statement));
        }
        let mut copy = Store { rows: store.rows.clone(), revision: store.revision };
        sync_with_store(&mut second, &mut copy, late + 2_000);
        let held = second.account(ACCOUNT).unwrap().held();
        let drawn_by_second = held;
        assert!(drawn_by_second <= LIMIT - 10_000, "{held}");
    }
}

/// Guards against accounts without tokens after a power loss of all routers: the witnesses' memory is
/// lost, too, but the ceilings bound what was spent.
#[test]
fn ceilings_limit_the_loss_if_the_witnesses_have_ended_too() {
    let mut store = Store::default();
    let first = declared_router(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    for statement in [None, Some(WitnessStatement::Forgotten)] {
        let mut second = new_allowances(3);
        assert!(!sync_with_store(&mut second, &mut store, at_age(Duration::from_secs(4))));
        if let (Some(statement), Some((asked, about))) = (statement, second.witness_query()) {
            asked.iter().for_each(|it| second.on_witness_statement(it, &about, &statement));
        }
        let mut copy = Store { rows: store.rows.clone(), revision: store.revision };
        assert!(sync_with_store(&mut second, &mut copy, at_age(Duration::from_millis(5_500))));
        assert_eq!(second.account(ACCOUNT).unwrap().held(), kept_when_idle(held, 4_000));
    }
}

/// Guards against tokens that are taken over although their router, which had no witnesses, may have
/// spent them.
#[test]
fn row_without_witnesses_is_relied_on_for_the_time_of_its_cap_only() {
    let mut store = Store::default();
    let mut first = new_allowances(1);
    for millis in [0, 10, 600] {
        sync_with_store(&mut first, &mut store, millis);
    }
    let held = first.account(ACCOUNT).unwrap().held();
    assert_eq!(first.account(ACCOUNT).unwrap().available(at(8_000)), held);
    for (age_ms, kept) in [(4_000, kept_when_idle(held, 4_000)), (6_000, 0)] {
        let mut copy = Store { rows: store.rows.clone(), revision: store.revision };
        let mut second = new_allowances(3);
        // The account's row is full, so that the process draws nothing.
        second.set_accounts(&accounts_with(held), 2);
        sync_with_store(&mut second, &mut copy, 600 + age_ms);
        assert_eq!(second.account(ACCOUNT).unwrap().held(), kept, "age {age_ms} ms");
    }
}

/// Guards against a wait of 1.5 s for witnesses that have ended: their routers' new processes answer.
#[test]
fn answers_of_new_processes_show_that_the_witnesses_have_ended() {
    let mut store = Store::default();
    let first = declared_router(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    let mut second = new_allowances(3);
    assert!(!sync_with_store(&mut second, &mut store, at_age(UNWITNESSED_TIME)));
    let (_, about) = second.witness_query().unwrap();
    let restarted = RouterProcess { process: 12, ..witness() };
    second.on_witness_statement(&restarted, &about, &WitnessStatement::Nothing);
    assert!(sync_with_store(&mut second, &mut store, at_age(UNWITNESSED_TIME) + 10));
    assert_eq!(second.account(ACCOUNT).unwrap().held(), kept_when_idle(held, 3_200));
}

/// Guards against a ceiling that grows faster than the next process assumes: a router's clock may be
/// faster than the store's.
#[test]
fn router_with_a_fast_clock_keeps_to_the_ceiling_of_the_stores_clock() {
    let mut store = Store::default();
    let first = declared_router(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    for age_ms in (0..3_200).step_by(100) {
        let own = at(600 + age_ms * 11 / 10);
        let available = first.account(ACCOUNT).unwrap().available(own);
        assert!(available <= held - kept_when_idle(held, age_ms), "{available} after {age_ms} ms");
    }
}

/// Guards against tokens that a router spends with the confirmation of witnesses, and that count as
/// unspent after a power loss of all.
#[test]
fn ceiling_holds_with_the_confirmation_of_witnesses_too() {
    let mut store = Store::default();
    let mut first = declared_router(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    for age_ms in [1_500, 3_100, 4_000, 5_900] {
        let now = at(600 + age_ms);
        let _ = first.reserve(&Arc::from(ACCOUNT), held, now);
        let (asked, declaration) = first.witness_declaration(now).unwrap();
        asked.iter().for_each(|it| first.on_witness_confirmed(it, declaration.number));
        let available = first.account(ACCOUNT).unwrap().available(now);
        assert!(available <= held - kept_when_idle(held, age_ms), "{available} after {age_ms} ms");
    }
    let now = at(600 + 6_700);
    assert!(first.reserve(&Arc::from(ACCOUNT), held, now).is_ok(), "the cap has ended");
}

/// Guards against tokens that are spent twice while two builds run side by side: an earlier one relies
/// on `ceiling` alone for 3.2 s, and the rows of an earlier one have a ceiling that does not grow.
#[test]
fn rows_of_earlier_builds_and_for_earlier_builds_bound_what_is_spent() {
    let mut store = Store::default();
    let first = declared_router(&mut store);
    let row = store.rows.iter().find(|it| it.key.as_str().starts_with(HOLDINGS_PREFIX)).unwrap();
    let mut row: HoldingsRow = row.decode().unwrap();
    let holding = row.accounts[ACCOUNT];
    for age_ms in (0..=3_500).step_by(100) {
        let available = first.account(ACCOUNT).unwrap().available(at(600 + age_ms));
        assert!(available <= holding.ceiling, "{available} after {age_ms} ms");
    }

    row.unwitnessed_ms = None;
    row.cap_ms = None;
    row.accounts.values_mut().for_each(|it| (it.start, it.per_second) = (None, 0));
    assert_eq!(row.unwitnessed_time(), Duration::from_millis(3_200));
    let kept = row.kept_until(Duration::from_millis(100));
    assert_eq!(kept, [(Arc::from(ACCOUNT), holding.held - holding.ceiling)]);
    assert_eq!(row.kept(), kept);
}

#[test]
fn no_tokens_are_available_after_the_ceiling_validity_until_a_witness_confirms() {
    let mut store = Store::default();
    let mut first = declared_router(&mut store);
    let account = Arc::from(ACCOUNT);
    let later = at(at_age(CAP_TIME) + 700);
    assert_eq!(first.reserve(&account, 500, later), Err(Shortage::OutOfReach));
    let (_, declaration) = first.witness_declaration(later).expect("the store is unavailable");
    assert_eq!(first.reserve(&account, 500, later), Err(Shortage::OutOfReach));
    first.on_witness_confirmed(&witness(), declaration.number);
    assert!(first.reserve(&account, 500, later).is_ok());
}

#[test]
fn confirmation_by_one_of_two_witnesses_is_enough() {
    let mut store = Store::default();
    let mut first = declared_router(&mut store);
    let later = at(at_age(CAP_TIME) + 700);
    let _ = first.reserve(&Arc::from(ACCOUNT), 500, later);
    let (witnesses, declaration) =
        first.witness_declaration(later).expect("the store is unavailable");
    assert_eq!(witnesses.len(), 2);
    first.on_witness_confirmed(&other_witness(), declaration.number);
    assert!(first.reserve(&Arc::from(ACCOUNT), 500, later).is_ok());
}

/// Guards against tokens that are lost because one witness ended together with their router.
#[test]
fn two_of_three_witnesses_are_enough_for_the_next_process() {
    let third = RouterProcess { router: "router-4".into(), process: 4 };
    let mut store = Store::default();
    let mut first = new_allowances(1);
    first.choose_witnesses(&[witness(), other_witness(), third.clone()]);
    for millis in [0, 10, 600] {
        sync_with_store(&mut first, &mut store, millis);
    }
    let held = first.account(ACCOUNT).unwrap().held();
    let later = at(at_age(CAP_TIME) + 700);
    let account = Arc::from(ACCOUNT);
    let _ = first.reserve(&account, 4_000, later);
    let (witnesses, declaration) =
        first.witness_declaration(later).expect("the store is unavailable");
    assert_eq!(witnesses.len(), 3);
    first.on_witness_confirmed(&witness(), declaration.number);
    assert!(first.reserve(&account, 4_000, later).is_err(), "one of three is not enough");
    first.on_witness_confirmed(&third, declaration.number);
    let reservation = first.reserve(&account, 4_000, later).unwrap();
    first.settle(reservation, 4_000);

    let mut records = WitnessRecords::default();
    let declarer = RouterProcess { router: "router-1".into(), process: 1 };
    assert!(records.store(declarer, declaration));
    for (silent, declared) in [(&witness(), &third), (&third, &witness())] {
        let mut copy = Store { rows: store.rows.clone(), revision: store.revision };
        let mut second = new_allowances(3);
        assert!(!sync_with_store(&mut second, &mut copy, 9_000));
        let (asked, about) = second.witness_query().unwrap();
        assert!(asked.contains(silent));
        second.on_witness_statement(&other_witness(), &about, &WitnessStatement::Nothing);
        assert!(!sync_with_store(&mut second, &mut copy, 9_010), "one statement is not enough");
        second.on_witness_statement(declared, &about, &records.statement(&about));
        sync_with_store(&mut second, &mut copy, 9_020);
        let taken_over = second.account(ACCOUNT).unwrap().held();
        assert!(taken_over > 0 && taken_over <= held - 4_000, "{taken_over} of {held}");
    }
}

#[test]
fn witness_statement_limits_the_takeover() {
    let mut store = Store::default();
    let mut first = declared_router(&mut store);
    let account: Arc<str> = Arc::from(ACCOUNT);
    let later = at(at_age(CAP_TIME) + 700);
    let held = first.account(ACCOUNT).unwrap().held();
    let _ = first.reserve(&account, 4_000, later);
    let (_, declaration) = first.witness_declaration(later).expect("the store is unavailable");
    first.on_witness_confirmed(&witness(), declaration.number);
    let reservation = first.reserve(&account, 4_000, later).unwrap();
    first.settle(reservation, 4_000);

    let mut records = WitnessRecords::default();
    let declarer = RouterProcess { router: "router-1".into(), process: 1 };
    assert!(records.store(declarer, declaration));
    let mut second = new_allowances(3);
    assert!(!sync_with_store(&mut second, &mut store, 9_000));
    let (asked, about) = second.witness_query().unwrap();
    assert_eq!(asked.len(), 2);
    // Only one of the two witnesses received the declaration.
    second.on_witness_statement(&witness(), &about, &records.statement(&about));
    second.on_witness_statement(&other_witness(), &about, &WitnessStatement::Nothing);
    sync_with_store(&mut second, &mut store, 9_010);
    let taken_over = second.account(ACCOUNT).unwrap().held();
    assert!(taken_over <= held - 4_000, "{taken_over} of {held}");
    assert!(taken_over > 0);
}

#[test]
fn lent_tokens_are_deducted_before_the_loan_is_sent() {
    let mut store = Store::default();
    let mut lender = declared_router(&mut store);
    let before = lender.account(ACCOUNT).unwrap().held();
    let _ = lender.reserve(&Arc::from(ACCOUNT), 2_000, at(650));
    sync_with_store(&mut lender, &mut store, 1_200);
    let lent = lender.lend(ACCOUNT, 1_000, false, at(1_210));
    assert!(lent > 0);
    assert_eq!(lender.account(ACCOUNT).unwrap().held(), before - lent);
}

#[test]
fn tokens_in_a_lost_return_commit_are_taken_over() {
    let mut store = Store::default();
    let mut first = declared_router(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    // The router ends, and the commit that returns its tokens is lost.
    assert!(first.next_commit(&inputs(1_000, Stage::Ended)).is_some());
    first.on_outcome(&CommitOutcome::Unknown, false, at(1_000));
    let (_, declaration) = first.witness_declaration(at(5_000)).expect("the store is unavailable");
    let mut records = WitnessRecords::default();
    let declarer = RouterProcess { router: "router-1".into(), process: 1 };
    assert!(records.store(declarer, declaration));
    let mut second = new_allowances(3);
    assert!(!sync_with_store(&mut second, &mut store, 9_000));
    let (asked, about) = second.witness_query().unwrap();
    asked.iter().for_each(|it| second.on_witness_statement(it, &about, &records.statement(&about)));
    sync_with_store(&mut second, &mut store, 9_010);
    assert_eq!(second.account(ACCOUNT).unwrap().held(), held);
}
