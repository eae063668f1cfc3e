//! Prepaid tokens in a large fleet whose routers have few requests each: which routers draw tokens,
//! how often the store is written, and whether requests get tokens.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
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

/// Tokens that a request reserves, and tokens that it spends.
const RESERVED_PER_REQUEST: u64 = 9_000;
const SPENT_PER_REQUEST: u64 = 8_700;

/// Requests for the account per second, in the whole fleet.
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
fn all_routers_of_a_small_fleet_are_holders() {
    assert_eq!(choose_holders(&candidates(HOLDERS_MAX, |_| 250)).len(), HOLDERS_MAX);
}

#[test]
fn hosts_with_more_processor_capacity_become_holders() {
    let all = candidates(40, |number| if number >= 35 { 500 } else { 120 });
    let holders = choose_holders(&all);
    for number in 35..40 {
        assert!(holders.contains(&format!("router-{number}").into()), "{holders:?}");
    }
    assert_eq!(holders.len(), HOLDERS_MAX);
}

#[test]
fn holders_are_spread_over_failure_domains_in_any_order() {
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

/// A store in which each commit takes effect at the end of the step in which it was sent, so that
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

/// A fleet that serves one account. Loans arrive within the step in which they are sent.
struct Fleet {
    routers: Vec<RouterAllowances>,
    store: Store,
    now: Timestamp,
    rng: Rng,
    served: usize,
    refused: usize,
    /// Requests that wait for tokens: the router and the remaining steps.
    waiting: Vec<(usize, u32)>,
    /// Running requests: the router, the reservation and the remaining steps.
    running: Vec<(usize, relay::allowance::Reservation, u32)>,
}

impl Fleet {
    /// Creates a fleet; with `all_are_holders`, each router has the role of a holder.
    fn new(limit: u64, all_are_holders: bool, seed: u64) -> Fleet {
        let account = Account { name: ACCOUNT.into(), priority: None, prepaid_tokens: Some(limit) };
        let accounts: HashMap<Arc<str>, Arc<Account>> =
            [(Arc::from("key"), Arc::new(account))].into_iter().collect();
        let holders = choose_holders(&candidates(ROUTERS, |_| 250));
        let start = |number: usize| {
            let mut allowances =
                RouterAllowances::new(format!("router-{number}").into(), number as u64 + 1);
            allowances.set_accounts(&accounts, 1);
            if !all_are_holders {
                allowances.set_holders(&holders);
            }
            allowances
        };
        Fleet {
            routers: (0..ROUTERS).map(start).collect(),
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
            self.serve_requests();
            self.end_requests();
            self.commit_all();
            self.return_surplus();
        }
    }

    fn serve_requests(&mut self) {
        for (router, left) in std::mem::take(&mut self.waiting) {
            match self.routers[router].reserve(&ACCOUNT.into(), RESERVED_PER_REQUEST, self.now) {
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
        let lenders = self.routers[router].lenders(ACCOUNT);
        let Some(lender) = lenders.first() else { return };
        let lender: usize = lender.trim_start_matches("router-").parse().unwrap();
        let missing = self.routers[router].missing(ACCOUNT, RESERVED_PER_REQUEST, self.now);
        let step = self.routers[lender].prepare_loan(ACCOUNT, missing, true, self.now);
        if step == LoanStep::Lend {
            let spent = self.routers[router].take_unreported(ACCOUNT);
            self.routers[lender].report_for_borrower(ACCOUNT, spent);
            let tokens = self.routers[lender].lend(ACCOUNT, missing, true, self.now);
            self.routers[router].credit(ACCOUNT, tokens);
            let spent = self.routers[lender].known_spent(ACCOUNT);
            let undrawn = self.routers[lender].known_undrawn(ACCOUNT);
            self.routers[router].apply_holder_totals(ACCOUNT, spent, undrawn);
        }
    }

    fn end_requests(&mut self) {
        for (router, reservation, left) in std::mem::take(&mut self.running) {
            if left == 0 {
                self.routers[router].settle(reservation, SPENT_PER_REQUEST);
            } else {
                self.running.push((router, reservation, left - 1));
            }
        }
    }

    /// Lets all routers with a due commit send it at the same time.
    fn commit_all(&mut self) {
        let mut sent = Vec::new();
        for (index, allowances) in self.routers.iter_mut().enumerate() {
            if allowances.must_read_rows(self.now) {
                let accounts = self.store.rows_of(ACCOUNT_PREFIX);
                let holdings = self.store.rows_of(HOLDINGS_PREFIX);
                allowances.apply_rows(&accounts, &holdings, self.now);
            }
            let millis = self.now.as_millis();
            let inputs = CommitInputs {
                routers: ROUTERS,
                stage: Stage::Serving,
                store_time: Some(StoreTime { millis, age: Duration::ZERO }),
                now: self.now,
            };
            if let Some(commit) = allowances.next_commit(&inputs) {
                sent.push((index, commit));
            }
        }
        for (index, commit) in sent {
            let outcome = self.store.commit(&commit);
            self.routers[index].on_outcome(&outcome, false, self.now);
        }
    }

    fn return_surplus(&mut self) {
        for index in 0..ROUTERS {
            for (account, tokens) in self.routers[index].take_surplus(self.now) {
                let lender = self.routers[index].lenders(ACCOUNT)[0].clone();
                let lender: usize = lender.trim_start_matches("router-").parse().unwrap();
                self.routers[lender].credit(&account, tokens);
            }
        }
    }

    fn spent(&self) -> u64 {
        self.served as u64 * SPENT_PER_REQUEST
    }
}

#[test]
fn requests_spread_over_many_routers_get_tokens_with_few_conflicts() {
    let limit = 4_000_000;
    let mut fleet = Fleet::new(limit, false, 1);
    fleet.run(Duration::from_secs(20), REQUESTS_PER_S);
    assert!(fleet.served > 120, "{} served", fleet.served);
    assert!(fleet.refused * 50 <= fleet.served, "{} of {} refused", fleet.refused, fleet.served);
    let (commits, conflicts) = (fleet.store.commits, fleet.store.conflicts);
    assert!(conflicts * 5 <= commits, "{conflicts} of {commits} commits conflict");
    // One partition of the table takes 150 transactions per second; half of them are for other
    // uses.
    assert!(commits <= 75 * 20, "{commits} commits in 20 s");
}

#[test]
fn many_routers_spend_97_percent_of_an_account() {
    let limit = 1_000_000;
    let mut fleet = Fleet::new(limit, false, 2);
    fleet.run(Duration::from_secs(30), REQUESTS_PER_S);
    let spent = fleet.spent();
    assert!(spent <= limit);
    // A last request that would exceed 97 % together with the running ones need not be served.
    let expected_min = limit / 100 * 97 - RESERVED_PER_REQUEST;
    assert!(spent >= expected_min, "{spent} of {limit} spent, {} refused", fleet.refused);
}

#[test]
fn borrowers_neither_draw_nor_declare() {
    let mut fleet = Fleet::new(4_000_000, false, 3);
    fleet.run(Duration::from_secs(5), REQUESTS_PER_S);
    let borrowers = fleet.routers.iter().filter(|it| it.role() == Role::Borrower).count();
    assert_eq!(borrowers, ROUTERS - HOLDERS_MAX);
    let declared = fleet.store.rows_of(HOLDINGS_PREFIX).len();
    assert_eq!(declared, HOLDERS_MAX);
    // Without requests only declarations remain: at most 60 per second, whatever the size of the
    // fleet.
    let before = fleet.store.commits;
    fleet.run(Duration::from_secs(10), 0.0);
    let commits = fleet.store.commits - before;
    assert!(commits <= 600, "{commits} commits in 10 s");
    assert_eq!(choose_holders(&candidates(600, |_| 250)).len(), HOLDERS_MAX);
}

#[test]
fn too_many_commits_if_all_routers_draw() {
    // Shows the need for holders: if all routers draw tokens, most commits fail.
    let mut fleet = Fleet::new(4_000_000, true, 1);
    fleet.run(Duration::from_secs(20), REQUESTS_PER_S);
    let (commits, conflicts) = (fleet.store.commits, fleet.store.conflicts);
    assert!(commits > 75 * 20, "{conflicts} of {commits} commits conflict");
}
