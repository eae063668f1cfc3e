//! What the next process of a router takes over after a crash, step by step.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test ends where it cannot go on, and its numbers are small"
)]

use std::{sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Precondition, Revision, Row, StoreTime};
use relay::{
    allowance::{
        CEILING_VALIDITY, CommitInputs, RouterAllowances, RouterProcess, Shortage, Stage,
        WitnessRecords, WitnessStatement,
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

fn book(process: u64) -> RouterAllowances {
    let account = Account { name: ACCOUNT.into(), priority: None, prepaid_tokens: Some(LIMIT) };
    let accounts: HashMap<Arc<str>, Arc<Account>> =
        [(Arc::from("key"), Arc::new(account))].into_iter().collect();
    let mut book = RouterAllowances::new("router-1".into(), process);
    book.set_accounts(&accounts, 1);
    book
}

/// The rows of the store, and its revision.
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
            let value = write.value.clone().expect("nothing is deleted here");
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

/// Lets a process read the rows and commit what is due; the store's clock is the tests'.
fn exchange(book: &mut RouterAllowances, store: &mut Store, millis: u64) -> bool {
    let inputs = inputs(millis, Stage::Serving);
    if book.must_read_rows(at(millis)) {
        book.apply_rows(&store.rows, &store.rows, at(millis));
    }
    let Some(commit) = book.next_commit(&inputs) else { return false };
    let outcome = store.commit(&commit);
    book.on_outcome(&outcome, false, at(millis));
    true
}

/// Returns how many of the tokens of an idle router may not leave.
fn kept_of(held: u64) -> u64 {
    held - held / 16
}

/// A process that has drawn tokens, declared them and named its witness.
fn started(store: &mut Store) -> RouterAllowances {
    let mut book = book(1);
    book.choose_witnesses(&[witness(), other_witness()]);
    for millis in [0, 10, 600] {
        exchange(&mut book, store, millis);
    }
    book
}

#[test]
fn process_that_starts_soon_takes_over_what_was_kept() {
    let mut store = Store::default();
    let first = started(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    let mut second = book(3);
    exchange(&mut second, &mut store, 1_500);
    assert_eq!(second.account(ACCOUNT).unwrap().held(), kept_of(held));
}

#[test]
fn process_that_has_taken_over_tokens_may_spend_some_at_once() {
    let mut store = Store::default();
    let _first = started(&mut store);
    let mut second = book(3);
    exchange(&mut second, &mut store, 1_500);
    let account = second.account(ACCOUNT).unwrap();
    let (held, available) = (account.held(), account.available(at(1_510)));
    assert!(available * 4 >= held, "{available} of {held} may leave before the next commit");
}

#[test]
fn process_that_starts_late_waits_for_the_statements_of_the_witnesses() {
    let mut store = Store::default();
    let first = started(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    let late = 600 + CEILING_VALIDITY.as_millis() as u64;
    let mut second = book(3);
    assert!(!exchange(&mut second, &mut store, late));
    let (asked, about) = second.witness_query().expect("the witnesses are asked");
    assert_eq!(asked, [witness(), other_witness()]);
    second.on_witness_statement(&witness(), &about, &WitnessStatement::Nothing);
    assert!(!exchange(&mut second, &mut store, late + 5), "one statement is not enough");
    second.on_witness_statement(&other_witness(), &about, &WitnessStatement::Nothing);
    exchange(&mut second, &mut store, late + 10);
    assert_eq!(second.account(ACCOUNT).unwrap().held(), kept_of(held));
}

#[test]
fn without_a_statement_all_counts_as_spent() {
    let mut store = Store::default();
    started(&mut store);
    let late = 600 + CEILING_VALIDITY.as_millis() as u64;
    for statement in [None, Some(WitnessStatement::Forgotten)] {
        let mut second = book(3);
        exchange(&mut second, &mut store, late);
        if let (Some(statement), Some((asked, about))) = (statement, second.witness_query()) {
            asked.iter().for_each(|it| second.on_witness_statement(it, &about, &statement));
        }
        let mut copy = Store { rows: store.rows.clone(), revision: store.revision };
        exchange(&mut second, &mut copy, late + 2_000);
        let inherited = second.account(ACCOUNT).unwrap().held();
        let drawn_anew = inherited;
        assert!(drawn_anew <= LIMIT - 10_000, "{inherited}");
    }
}

#[test]
fn nothing_leaves_after_the_binding_time_before_the_witness_confirms() {
    let mut store = Store::default();
    let mut first = started(&mut store);
    let account = Arc::from(ACCOUNT);
    let later = at(700 + CEILING_VALIDITY.as_millis() as u64 * 2);
    assert_eq!(first.reserve(&account, 500, later), Err(Shortage::OutOfReach));
    let (_, declaration) = first.witness_declaration(later).expect("the store is away");
    assert_eq!(first.reserve(&account, 500, later), Err(Shortage::OutOfReach));
    first.on_witness_confirmed(&witness(), declaration.number);
    assert!(first.reserve(&account, 500, later).is_ok());
}

#[test]
fn one_of_two_witnesses_is_enough_to_go_on() {
    let mut store = Store::default();
    let mut first = started(&mut store);
    let later = at(700 + CEILING_VALIDITY.as_millis() as u64 * 2);
    let _ = first.reserve(&Arc::from(ACCOUNT), 500, later);
    let (witnesses, declaration) = first.witness_declaration(later).expect("the store is away");
    assert_eq!(witnesses.len(), 2);
    first.on_witness_confirmed(&other_witness(), declaration.number);
    assert!(first.reserve(&Arc::from(ACCOUNT), 500, later).is_ok());
}

#[test]
fn statement_of_the_witness_bounds_what_is_taken_over() {
    let mut store = Store::default();
    let mut first = started(&mut store);
    let account: Arc<str> = Arc::from(ACCOUNT);
    let later = at(700 + CEILING_VALIDITY.as_millis() as u64 * 2);
    let held = first.account(ACCOUNT).unwrap().held();
    let _ = first.reserve(&account, 4_000, later);
    let (_, declaration) = first.witness_declaration(later).expect("the store is away");
    first.on_witness_confirmed(&witness(), declaration.number);
    let reservation = first.reserve(&account, 4_000, later).unwrap();
    first.settle(reservation, 4_000);

    let mut records = WitnessRecords::default();
    let declarer = RouterProcess { router: "router-1".into(), process: 1 };
    assert!(records.keep(declarer, declaration));
    let mut second = book(3);
    assert!(!exchange(&mut second, &mut store, 9_000));
    let (asked, about) = second.witness_query().unwrap();
    assert_eq!(asked.len(), 2);
    // The declaration reached one of the two only.
    second.on_witness_statement(&witness(), &about, &records.statement(&about));
    second.on_witness_statement(&other_witness(), &about, &WitnessStatement::Nothing);
    exchange(&mut second, &mut store, 9_010);
    let taken_over = second.account(ACCOUNT).unwrap().held();
    assert!(taken_over <= held - 4_000, "{taken_over} of {held}");
    assert!(taken_over > 0);
}

#[test]
fn loan_is_out_before_it_is_in() {
    let mut store = Store::default();
    let mut lender = started(&mut store);
    let before = lender.account(ACCOUNT).unwrap().held();
    let _ = lender.reserve(&Arc::from(ACCOUNT), 2_000, at(650));
    exchange(&mut lender, &mut store, 1_200);
    let lent = lender.lend(ACCOUNT, 1_000, false, at(1_210));
    assert!(lent > 0);
    assert_eq!(lender.account(ACCOUNT).unwrap().held(), before - lent);
}

#[test]
fn tokens_in_an_unanswered_return_are_not_lost() {
    let mut store = Store::default();
    let mut first = started(&mut store);
    let held = first.account(ACCOUNT).unwrap().held();
    // The router ends; the commit that returns its tokens gets lost on the way.
    assert!(first.next_commit(&inputs(1_000, Stage::Ended)).is_some());
    first.on_outcome(&CommitOutcome::Unknown, false, at(1_000));
    let (_, declaration) = first.witness_declaration(at(5_000)).expect("the store is away");
    let mut records = WitnessRecords::default();
    let declarer = RouterProcess { router: "router-1".into(), process: 1 };
    assert!(records.keep(declarer, declaration));
    let mut second = book(3);
    assert!(!exchange(&mut second, &mut store, 9_000));
    let (asked, about) = second.witness_query().unwrap();
    asked.iter().for_each(|it| second.on_witness_statement(it, &about, &records.statement(&about)));
    exchange(&mut second, &mut store, 9_010);
    assert_eq!(second.account(ACCOUNT).unwrap().held(), kept_of(held));
}
