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
    accounts: HashMap<Arc<str>, Arc<Account>>,
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
            accounts,
            store: Store::default(),
            now: Timestamp::from_millis(1_000),
            rng: seeded_rng(seed),
            served: 0,
            refused: 0,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Replaces all processes; the rows stay.
    fn restart_all(&mut self) {
        let (accounts, holders) = (self.accounts.clone(), self.routers[0].lenders(ACCOUNT));
        let own = self.routers[0].role() == Role::Holder;
        let holders: Vec<Arc<str>> =
            holders.into_iter().chain(own.then(|| Arc::from("router-0"))).collect();
        for (number, it) in self.routers.iter_mut().enumerate() {
            let name = format!("router-{number}").into();
            *it = RouterAllowances::new(name, 1_000 + number as u64);
            it.set_accounts(&accounts, 1);
            it.set_holders(&holders);
        }
        self.running.clear();
        self.waiting.clear();
        self.now = self.now + Duration::from_secs(1);
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

/// Lets all routers commit for a time in which no holder lends; returns the commits of the others. Their
/// requests wait for tokens all the time.
fn commits_of_borrowers(fleet: &mut Fleet, time: Duration) -> usize {
    let before = fleet.store.commits;
    let until = fleet.now + time;
    while fleet.now < until {
        fleet.now = fleet.now + STEP;
        for it in &mut fleet.routers {
            let _ = it.reserve(&ACCOUNT.into(), RESERVED_PER_REQUEST, fleet.now);
            it.allow_direct_draw(ACCOUNT);
        }
        fleet.commit_all();
    }
    fleet.store.commits - before
}

/// Guards against a store that serves nobody: after a power loss of all routers of a large fleet, each of them
/// replaced its row and drew tokens for its own requests, and the partition's queue was never empty again.
#[test]
fn routers_that_are_no_holders_leave_the_store_to_the_holders_after_a_restart_of_all() {
    let mut fleet = Fleet::new(40_000_000, false, 4);
    fleet.run(Duration::from_secs(5), REQUESTS_PER_S);
    let holders: Vec<Arc<str>> = fleet.routers[0].lenders(ACCOUNT);
    fleet.restart_all();
    fleet.routers.retain(|it| it.role() == Role::Borrower);
    assert!(fleet.routers.len() >= ROUTERS - HOLDERS_MAX && !holders.is_empty());
    // Half of the 150 transactions per second that a partition takes.
    for second in 0..5 {
        let commits = commits_of_borrowers(&mut fleet, Duration::from_secs(1));
        assert!(commits <= 75, "{commits} commits in second {second}");
    }
}

/// Guards against borrowers without tokens if no holder can be reached: they still draw in turns.
#[test]
fn routers_that_are_no_holders_draw_in_turns_if_no_holder_lends() {
    let mut fleet = Fleet::new(40_000_000, false, 5);
    fleet.routers.retain(|it| it.role() == Role::Borrower);
    let commits = commits_of_borrowers(&mut fleet, Duration::from_secs(6));
    assert!(commits <= 75 * 6, "{commits} commits in 6 s");
    let supplied =
        fleet.routers.iter().filter(|it| it.account(ACCOUNT).unwrap().held() > 0).count();
    assert!(supplied * 2 >= fleet.routers.len(), "{supplied} routers have tokens");
}

/// Guards against tokens that stay with routers which do not need them, are missing elsewhere and are lost
/// with them: more than a message may carry were kept until the next commit.
#[test]
fn borrowers_give_back_what_they_do_not_need_within_seconds() {
    let limit = 4_000_000;
    let mut fleet = Fleet::new(limit, false, 6);
    fleet.run(Duration::from_secs(2), REQUESTS_PER_S);
    let borrower = fleet.routers.iter().position(|it| it.role() == Role::Borrower).unwrap();
    fleet.routers[borrower].credit(ACCOUNT, limit / 10);
    let mut largest_message = 0;
    for _ in 0..14 {
        fleet.now = fleet.now + Duration::from_millis(300);
        let surplus = fleet.routers[borrower].take_surplus(fleet.now);
        largest_message = surplus.iter().map(|it| it.1).max().unwrap_or(0).max(largest_message);
    }
    let held = fleet.routers[borrower].account(ACCOUNT).unwrap().held();
    assert!(held <= limit / 50, "{held} held");
    assert!(largest_message <= limit / 100, "{largest_message} in one message");
}
