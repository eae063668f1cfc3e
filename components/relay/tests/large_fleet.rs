//! Prepaid tokens in a fleet of many routers, each with few requests of an account: who
//! draws tokens, how often the store is written, and whether requests find tokens.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test ends where it cannot go on, and its numbers are small"
)]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Key, Precondition, Revision, Row, StoreTime};
use rand::Rng as _;
use relay::{
    allowance::{
        ACCOUNT_PREFIX, CommitInputs, HOLDERS_MAX, HOLDINGS_PREFIX, HolderCandidate, LoanStep,
        Role, RouterAllowances, Stage, choose_holders,
    },
    model::Account,
};
use types::Timestamp;
use utils::{HashMap, Rng, seeded_rng};

const ACCOUNT: &str = "school";
const ROUTERS: usize = 75;
const STEP: Duration = Duration::from_millis(10);

/// Tokens that a request reserves, and that it spends.
const RESERVED: u64 = 9_000;
const SPENT: u64 = 8_700;

/// Requests of the account to the whole fleet, in a second.
const REQUESTS_PER_S: f64 = 8.0;

fn candidates(count: usize, processor_of: impl Fn(usize) -> u32) -> Vec<HolderCandidate> {
    let domains = ["zlin", "vsetin", "kromeriz", "brod"];
    let candidate = |number: usize| HolderCandidate {
        name: format!("router-{number}").into(),
        failure_domain: domains[number % 4].into(),
        processor_millis: processor_of(number),
    };
    (0..count).map(candidate).collect()
}

#[test]
fn all_routers_of_a_small_fleet_draw() {
    assert_eq!(choose_holders(&candidates(HOLDERS_MAX, |_| 250)).len(), HOLDERS_MAX);
}

#[test]
fn hosts_with_more_processor_draw_first() {
    let all = candidates(40, |number| if number >= 35 { 500 } else { 120 });
    let holders = choose_holders(&all);
    for number in 35..40 {
        assert!(holders.contains(&format!("router-{number}").into()), "{holders:?}");
    }
    assert_eq!(holders.len(), HOLDERS_MAX);
}

#[test]
fn holders_are_spread_over_failure_domains_whatever_the_order() {
    let mut all = candidates(75, |_| 250);
    let holders = choose_holders(&all);
    all.reverse();
    assert_eq!(choose_holders(&all), holders);
    let mut by_domain: BTreeMap<usize, usize> = BTreeMap::new();
    for name in &holders {
        let number: usize = name.trim_start_matches("router-").parse().unwrap();
        *by_domain.entry(number % 4).or_default() += 1;
    }
    assert!(by_domain.values().all(|count| *count == 2), "{by_domain:?}");
}

/// The store: each commit takes effect at the end of the step in which it was sent, so that
/// commits of one step conflict.
#[derive(Default)]
struct Store {
    rows: BTreeMap<Key, Row>,
    revision: u64,
    commits: usize,
    conflicts: usize,
}

impl Store {
    fn commit(&mut self, commit: &Commit) -> CommitOutcome {
        self.commits += 1;
        for it in &commit.preconditions {
            let found = self.rows.get(it.key()).map(|row| row.revision);
            let expected = match it {
                Precondition::Absent(_) => None,
                Precondition::Revision(_, revision) => Some(*revision),
            };
            if found != expected {
                self.conflicts += 1;
                return CommitOutcome::Conflict(it.key().clone());
            }
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        for write in &commit.writes {
            let row = Row { key: write.key.clone(), revision, value: write.value.clone().unwrap() };
            self.rows.insert(write.key.clone(), row);
        }
        CommitOutcome::Committed(revision)
    }

    fn rows_of(&self, prefix: &str) -> Vec<Row> {
        self.rows.values().filter(|it| it.key.as_str().starts_with(prefix)).cloned().collect()
    }
}

/// A fleet that serves one account. Loans arrive within a step.
struct Fleet {
    books: Vec<RouterAllowances>,
    store: Store,
    now: Timestamp,
    rng: Rng,
    served: usize,
    refused: usize,
    /// Requests that wait for tokens: the router, and the steps that are left.
    waiting: Vec<(usize, u32)>,
    /// Running requests: the router, the reservation and the steps that are left.
    running: Vec<(usize, relay::allowance::Reservation, u32)>,
}

impl Fleet {
    /// Creates a fleet; `all_draw` gives each router the role of a holder.
    fn new(limit: u64, all_draw: bool, seed: u64) -> Fleet {
        let account = Account { name: ACCOUNT.into(), priority: None, prepaid_tokens: Some(limit) };
        let accounts: HashMap<Arc<str>, Arc<Account>> =
            [(Arc::from("key"), Arc::new(account))].into_iter().collect();
        let holders = choose_holders(&candidates(ROUTERS, |_| 250));
        let start = |number: usize| {
            let mut book =
                RouterAllowances::new(format!("router-{number}").into(), number as u64 + 1);
            book.set_accounts(&accounts, 1);
            if !all_draw {
                book.set_holders(&holders);
            }
            book
        };
        Fleet {
            books: (0..ROUTERS).map(start).collect(),
            store: Store::default(),
            now: Timestamp::from_millis(1_000),
            rng: seeded_rng(seed),
            served: 0,
            refused: 0,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    fn run(&mut self, time: Duration, requests_per_s: f64) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            if self.rng.random_bool(requests_per_s * STEP.as_secs_f64()) {
                let router = self.rng.random_range(0..ROUTERS);
                self.waiting.push((router, 10));
            }
            self.serve();
            self.end_requests();
            self.write();
            self.give_back();
        }
    }

    fn serve(&mut self) {
        for (router, left) in std::mem::take(&mut self.waiting) {
            match self.books[router].reserve(&ACCOUNT.into(), RESERVED, self.now) {
                Ok(reservation) => {
                    self.served += 1;
                    self.running.push((router, reservation, 100));
                }
                Err(_) if left == 0 => self.refused += 1,
                Err(_) => {
                    self.request_loan(router);
                    self.waiting.push((router, left - 1));
                }
            }
        }
    }

    fn request_loan(&mut self, router: usize) {
        let lenders = self.books[router].lenders(ACCOUNT);
        let Some(lender) = lenders.first() else { return };
        let lender: usize = lender.trim_start_matches("router-").parse().unwrap();
        let missing = self.books[router].missing(ACCOUNT, RESERVED, self.now);
        let step = self.books[lender].prepare_loan(ACCOUNT, missing, true, self.now);
        if step == LoanStep::Lend {
            let spent = self.books[router].take_unreported(ACCOUNT);
            self.books[lender].report_for_borrower(ACCOUNT, spent);
            let tokens = self.books[lender].lend(ACCOUNT, missing, true, self.now);
            self.books[router].borrow(ACCOUNT, tokens);
            let spent = self.books[lender].known_spent(ACCOUNT);
            let undrawn = self.books[lender].known_undrawn(ACCOUNT);
            self.books[router].apply_holder_totals(ACCOUNT, spent, undrawn);
        }
    }

    fn end_requests(&mut self) {
        for (router, reservation, left) in std::mem::take(&mut self.running) {
            if left == 0 {
                self.books[router].settle(reservation, SPENT);
            } else {
                self.running.push((router, reservation, left - 1));
            }
        }
    }

    /// Lets all routers that are due commit at the same moment.
    fn write(&mut self) {
        let mut sent = Vec::new();
        for (index, book) in self.books.iter_mut().enumerate() {
            if book.must_read_rows(self.now) {
                let accounts = self.store.rows_of(ACCOUNT_PREFIX);
                let holdings = self.store.rows_of(HOLDINGS_PREFIX);
                book.apply_rows(&accounts, &holdings, self.now);
            }
            let millis = self.now.as_millis();
            let inputs = CommitInputs {
                routers: ROUTERS,
                stage: Stage::Serving,
                store_time: Some(StoreTime { millis, age: Duration::ZERO }),
                now: self.now,
            };
            if let Some(commit) = book.next_commit(&inputs) {
                sent.push((index, commit));
            }
        }
        for (index, commit) in sent {
            let outcome = self.store.commit(&commit);
            self.books[index].on_outcome(&outcome, false, self.now);
        }
    }

    fn give_back(&mut self) {
        for index in 0..ROUTERS {
            for (account, tokens) in self.books[index].take_surplus(self.now) {
                let lender = self.books[index].lenders(ACCOUNT)[0].clone();
                let lender: usize = lender.trim_start_matches("router-").parse().unwrap();
                self.books[lender].borrow(&account, tokens);
            }
        }
    }

    fn spent(&self) -> u64 {
        self.served as u64 * SPENT
    }
}

#[test]
fn few_requests_at_many_routers_find_tokens_and_few_commits_conflict() {
    let limit = 4_000_000;
    let mut fleet = Fleet::new(limit, false, 1);
    fleet.run(Duration::from_secs(20), REQUESTS_PER_S);
    assert!(fleet.served > 120, "{} served", fleet.served);
    assert!(fleet.refused * 50 <= fleet.served, "{} of {} refused", fleet.refused, fleet.served);
    let (commits, conflicts) = (fleet.store.commits, fleet.store.conflicts);
    assert!(conflicts * 5 <= commits, "{conflicts} of {commits} commits conflict");
    // One part of the table takes 150 transactions a second; half of them are for others.
    assert!(commits <= 75 * 20, "{commits} commits in 20 s");
}

#[test]
fn account_of_many_routers_is_spent_to_97_in_100() {
    let limit = 1_000_000;
    let mut fleet = Fleet::new(limit, false, 2);
    fleet.run(Duration::from_secs(30), REQUESTS_PER_S);
    let spent = fleet.spent();
    assert!(spent <= limit);
    // A request that does not fit into 97 in 100 beside the running ones is not owed.
    let owed = limit / 100 * 97 - RESERVED;
    assert!(spent >= owed, "{spent} of {limit} spent, {} refused", fleet.refused);
}

#[test]
fn borrower_draws_nothing_and_declares_nothing() {
    let mut fleet = Fleet::new(4_000_000, false, 3);
    fleet.run(Duration::from_secs(5), REQUESTS_PER_S);
    let borrowers = fleet.books.iter().filter(|it| it.role() == Role::Borrower).count();
    assert_eq!(borrowers, ROUTERS - HOLDERS_MAX);
    let declared = fleet.store.rows_of(HOLDINGS_PREFIX).len();
    assert_eq!(declared, HOLDERS_MAX);
    // Without requests only declarations are left: at most 60 a second, whatever the fleet.
    let before = fleet.store.commits;
    fleet.run(Duration::from_secs(10), 0.0);
    let commits = fleet.store.commits - before;
    assert!(commits <= 600, "{commits} commits in 10 s");
    assert_eq!(choose_holders(&candidates(600, |_| 250)).len(), HOLDERS_MAX);
}

#[test]
fn fleet_of_drawers_conflicts() {
    // What the holders are for: where all routers draw, most commits fail.
    let mut fleet = Fleet::new(4_000_000, true, 1);
    fleet.run(Duration::from_secs(20), REQUESTS_PER_S);
    let (commits, conflicts) = (fleet.store.commits, fleet.store.conflicts);
    assert!(commits > 75 * 20, "{conflicts} of {commits} commits conflict");
}
