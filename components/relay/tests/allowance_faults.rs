//! Prepaid tokens under random faults: lost and late commits, lost loans, crashes at any
//! moment, restarts, and an operator who changes the limit.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test ends where it cannot go on, and its numbers are small"
)]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use platform::{Commit, CommitOutcome, Key, PlatformError, Precondition, Revision, Row, StoreTime};
use rand::Rng as _;
use relay::{
    allowance::{
        AllowanceBook, AllowanceRow, CommitInputs, HOLDINGS_PREFIX, HoldingsRow, Reservation,
        RouterProcess, Stage, WitnessDeclaration, WitnessRecords,
    },
    model::Account,
};
use types::Timestamp;
use utils::{HashMap, Rng, seeded_rng};

const ACCOUNT: &str = "school";
const LIMIT: u64 = 400_000;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u64 = 1_200;
const ROUTERS: usize = 4;

/// A commit as a router sent it.
#[derive(Clone)]
struct Sent {
    commit: Commit,
    /// Process that sent it.
    process: u64,
    /// Tokens of an earlier process that it takes over.
    taken_over: u64,
}

/// The store: rows with revisions, and commits that take effect late.
#[derive(Default)]
struct Store {
    rows: BTreeMap<Key, Row>,
    revision: u64,
    late: Vec<(u64, Sent)>,
    /// What each process has drawn, borrowed or taken over and not spent, lent or returned:
    /// the truth, which no router sees.
    unspent: HashMap<u64, i64>,
    /// Tokens that new processes took over.
    taken_over: u64,
}

impl Store {
    fn commit(&mut self, sent: &Sent) -> Result<Revision, Key> {
        let commit = &sent.commit;
        for it in &commit.preconditions {
            let found = self.rows.get(it.key()).map(|row| row.revision);
            let holds = match it {
                Precondition::Absent(_) => found.is_none(),
                Precondition::Revision(_, revision) => found == Some(*revision),
            };
            if !holds {
                return Err(it.key().clone());
            }
        }
        self.note_truth(sent);
        self.revision += 1;
        let revision = Revision(self.revision);
        for write in &commit.writes {
            let value = write.value.clone().expect("nothing is deleted here");
            let row = Row { key: write.key.clone(), revision, value };
            self.rows.insert(write.key.clone(), row);
        }
        Ok(revision)
    }

    /// Notes what a commit that takes effect really moves.
    fn note_truth(&mut self, sent: &Sent) {
        let account_key = AllowanceRow::key(ACCOUNT);
        for write in &sent.commit.writes {
            let value = write.value.clone().expect("nothing is deleted here");
            let next = Row { key: write.key.clone(), revision: Revision(0), value };
            let before = self.rows.get(&write.key);
            if write.key == account_key {
                let drawn = |row: &Row| row.decode::<AllowanceRow>().unwrap().drawn.cast_signed();
                let delta = drawn(&next) - before.map_or(0, drawn);
                *self.unspent.entry(sent.process).or_default() += delta;
            } else if let Some(before) = before {
                let earlier = before.decode::<HoldingsRow>().unwrap().mark.process;
                if earlier != sent.process {
                    self.take_over(earlier, sent);
                }
            }
        }
    }

    fn take_over(&mut self, earlier: u64, sent: &Sent) {
        let unspent = self.unspent.entry(earlier).or_default();
        assert!(
            sent.taken_over.cast_signed() <= *unspent,
            "{} taken over of {unspent}",
            sent.taken_over
        );
        *unspent -= sent.taken_over.cast_signed();
        *self.unspent.entry(sent.process).or_default() += sent.taken_over.cast_signed();
        self.taken_over += sent.taken_over;
    }

    fn run_late(&mut self, step: u64) {
        let (due, later) = std::mem::take(&mut self.late).into_iter().partition(|it| it.0 <= step);
        self.late = later;
        for (_, commit) in due {
            let _ = self.commit(&commit);
        }
    }

    fn rows_of(&self, prefix: &str) -> Vec<Row> {
        self.rows.values().filter(|it| it.key.as_str().starts_with(prefix)).cloned().collect()
    }
}

/// A router: its book and its running requests with what they have used.
struct Router {
    name: Arc<str>,
    process: u64,
    book: AllowanceBook,
    records: WitnessRecords,
    running: Vec<(Reservation, u64)>,
    store_time: Option<(u64, u64)>,
    down_until: Option<u64>,
    last_taken_over: u64,
}

impl Router {
    fn start(name: Arc<str>, process: u64, accounts: &Accounts) -> Router {
        let mut book = AllowanceBook::new(name.clone(), process);
        book.set_accounts(&accounts.by_key(), accounts.version);
        Router {
            name,
            process,
            book,
            records: WitnessRecords::default(),
            running: Vec::new(),
            store_time: None,
            down_until: None,
            last_taken_over: 0,
        }
    }

    fn held(&self) -> u64 {
        self.book.account(ACCOUNT).map_or(0, |it| it.held())
    }

    /// Returns the tokens that a commit takes over: what it declares beyond what is held.
    fn taken_over(&self, commit: &Commit) -> u64 {
        let (true, Some(value)) = (commit.writes.len() == 1, &commit.writes[0].value) else {
            return 0;
        };
        let row: HoldingsRow = serde_json::from_str(value).unwrap();
        let declared = row.accounts.get(ACCOUNT).map_or(0, |it| it.held);
        declared.saturating_sub(self.held())
    }

    fn identity(&self) -> RouterProcess {
        RouterProcess { router: self.name.clone(), process: self.process }
    }
}

/// The operator's account.
struct Accounts {
    limit: u64,
    version: u64,
}

impl Accounts {
    fn by_key(&self) -> HashMap<Arc<str>, Arc<Account>> {
        let account =
            Account { name: ACCOUNT.into(), priority: None, prepaid_tokens: Some(self.limit) };
        [(Arc::from("key"), Arc::new(account))].into_iter().collect()
    }
}

/// How bad a run is.
#[derive(Debug, Clone, Copy)]
struct Faults {
    /// Whether the store is away for all routers in some spans.
    outages: bool,
    /// Chance of a crash in each step of each router.
    crash: f64,
    /// Chance that the answer of a commit is lost.
    lost_answer: f64,
    /// Chance that all routers crash in a step.
    power_loss: f64,
    /// Chance that a loan is lost on its way.
    lost_loan: f64,
}

/// A run: the routers, the store, and what was really spent.
struct World {
    store: Store,
    routers: Vec<Router>,
    accounts: Accounts,
    spent: u64,
    step: u64,
    next_process: u64,
    rng: Rng,
    faults: Faults,
    served: u64,
}

impl World {
    fn new(seed: u64, faults: Faults) -> World {
        let accounts = Accounts { limit: LIMIT, version: 1 };
        let routers = (0..ROUTERS)
            .map(|index| Router::start(format!("router-{index}").into(), index as u64, &accounts));
        World {
            store: Store::default(),
            routers: routers.collect(),
            accounts,
            spent: 0,
            step: 0,
            next_process: 1_000,
            rng: seeded_rng(seed),
            faults,
            served: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + STEP * u32::try_from(self.step).expect("few steps")
    }

    fn store_millis(&self) -> u64 {
        self.now().as_millis() + 77_000
    }

    fn is_store_away(&self) -> bool {
        self.faults.outages && self.step % 400 > 180
    }

    fn run(&mut self) {
        while self.step < STEPS {
            self.step += 1;
            self.store.run_late(self.step);
            if self.rng.random_bool(self.faults.power_loss) {
                (0..ROUTERS).for_each(|index| self.crash(index));
            }
            for index in 0..ROUTERS {
                self.step_router(index);
            }
            assert!(
                self.spent <= self.accounts.limit,
                "step {}: {} spent of {}",
                self.step,
                self.spent,
                self.accounts.limit
            );
        }
    }

    fn step_router(&mut self, index: usize) {
        if let Some(until) = self.routers[index].down_until {
            if self.step < until {
                return;
            }
            self.next_process += 1;
            let name = self.routers[index].name.clone();
            self.routers[index] = Router::start(name, self.next_process, &self.accounts);
        }
        self.serve(index);
        self.exchange_with_store(index);
        self.exchange_with_witness(index);
        self.borrow(index);
        if self.rng.random_bool(self.faults.crash) {
            self.crash(index);
        }
    }

    fn crash(&mut self, index: usize) {
        let down = self.rng.random_range(5..90);
        self.routers[index].down_until = Some(self.step + down);
        self.routers[index].running.clear();
    }

    /// Starts requests, lets running ones use tokens, and ends some.
    fn serve(&mut self, index: usize) {
        let now = self.now();
        let router = &mut self.routers[index];
        let process = router.process;
        if self.rng.random_bool(0.5) {
            let tokens = self.rng.random_range(20..450);
            if let Ok(reservation) = router.book.reserve(&ACCOUNT.into(), tokens, now) {
                router.running.push((reservation, 0));
            }
        }
        let mut running = Vec::new();
        for (reservation, used) in std::mem::take(&mut router.running) {
            let more = self.rng.random_range(0..=reservation.tokens - used);
            self.spent += more;
            *self.store.unspent.entry(process).or_default() -= more.cast_signed();
            let used = used + more;
            if self.rng.random_bool(0.2) {
                self.served += used;
                router.book.settle(reservation, used);
            } else {
                running.push((reservation, used));
            }
        }
        router.running = running;
    }

    fn exchange_with_store(&mut self, index: usize) {
        if self.is_store_away() || self.rng.random_bool(0.5) {
            return;
        }
        let (now, millis, step) = (self.now(), self.store_millis(), self.step);
        let router = &mut self.routers[index];
        router.store_time = Some((millis, step));
        if router.book.needs_read() {
            let accounts = self.store.rows_of("allowance");
            let holdings = self.store.rows_of(HOLDINGS_PREFIX);
            router.book.apply_rows(&accounts, &holdings, now);
        }
        let inputs = CommitInputs {
            routers: ROUTERS,
            stage: Stage::Serving,
            store_time: router
                .store_time
                .map(|(millis, at)| StoreTime { millis, age: STEP * (step - at) as u32 }),
            now,
        };
        let is_resent = router.book.has_pending();
        let Some(commit) = router.book.next_commit(&inputs) else { return };
        let sent = Sent {
            taken_over: if is_resent { router.last_taken_over } else { router.taken_over(&commit) },
            process: router.process,
            commit,
        };
        router.last_taken_over = sent.taken_over;
        let outcome = match self.rng.random_range(0.0..1.0) {
            it if it < self.faults.lost_answer / 2.0 => {
                let _ = self.store.commit(&sent);
                CommitOutcome::Unknown
            }
            it if it < self.faults.lost_answer => {
                let late = step + self.rng.random_range(1..80);
                self.store.late.push((late, sent));
                CommitOutcome::Unknown
            }
            it if it < self.faults.lost_answer + 0.05 => {
                CommitOutcome::NotApplied(PlatformError::RateLimited)
            }
            _ => match self.store.commit(&sent) {
                Ok(revision) => CommitOutcome::Committed(revision),
                Err(key) => CommitOutcome::Conflict(key),
            },
        };
        self.routers[index].book.on_outcome(&outcome, is_resent, now);
    }

    fn exchange_with_witness(&mut self, index: usize) {
        let now = self.now();
        let live = |it: &Router| it.down_until.is_none();
        let heard: Vec<RouterProcess> = (0..ROUTERS)
            .filter(|&other| other != index && live(&self.routers[other]))
            .map(|other| self.routers[other].identity())
            .collect();
        self.routers[index].book.choose_witnesses(&heard);
        let declared = self.routers[index].book.witness_declaration(now);
        if let Some((witnesses, declaration)) = declared {
            for witness in &witnesses {
                self.declare(index, witness, declaration.clone());
            }
        }
        let Some((asked, about)) = self.routers[index].book.witness_question() else { return };
        for witness in asked {
            let found = self.routers.iter().find(|it| live(it) && it.identity() == witness);
            let word = found.map(|it| it.records.word(&about));
            if let Some(word) = word.filter(|_| self.rng.random_bool(0.5)) {
                self.routers[index].book.on_witness_word(&witness, &about, &word);
            }
        }
    }

    /// Sends a declaration, which may be lost on either way.
    fn declare(&mut self, index: usize, witness: &RouterProcess, declaration: WitnessDeclaration) {
        let declarer = self.routers[index].identity();
        let found = self.routers.iter_mut().find(|it| it.identity() == *witness);
        let Some(router) = found.filter(|it| it.down_until.is_none()) else { return };
        if self.rng.random_bool(0.2) {
            return;
        }
        let number = declaration.number;
        assert!(router.records.keep(declarer, declaration));
        if self.rng.random_bool(0.8) {
            self.routers[index].book.on_witness_confirmed(witness, number);
        }
    }

    /// Borrows tokens; the loan may be lost on its way.
    fn borrow(&mut self, index: usize) {
        let now = self.now();
        let lender = self.rng.random_range(0..ROUTERS);
        if lender == index || self.routers[lender].down_until.is_some() {
            return;
        }
        if self.rng.random_bool(0.3) {
            let tokens = self.routers[lender].book.lend(ACCOUNT, 300, now);
            let from = self.routers[lender].process;
            *self.store.unspent.entry(from).or_default() -= tokens.cast_signed();
            if !self.rng.random_bool(self.faults.lost_loan) {
                self.routers[index].book.borrow(ACCOUNT, tokens);
                let to = self.routers[index].process;
                *self.store.unspent.entry(to).or_default() += tokens.cast_signed();
            }
        }
    }
}

const CALM: Faults =
    Faults { outages: false, crash: 0.0, lost_answer: 0.0, power_loss: 0.0, lost_loan: 0.0 };

#[test]
fn tokens_are_never_spent_twice_under_faults() {
    let mut taken_over = 0;
    for seed in 0..60 {
        let faults = Faults {
            outages: seed % 2 == 0,
            crash: 0.004,
            lost_answer: 0.2,
            power_loss: 0.002,
            lost_loan: 0.1,
        };
        let mut world = World::new(seed, faults);
        world.run();
        taken_over += world.store.taken_over;
    }
    assert!(taken_over > 0, "no process took over anything");
}

#[test]
fn calm_run_spends_nearly_all() {
    for seed in 0..5 {
        let mut world = World::new(seed, CALM);
        world.run();
        assert!(world.spent * 100 >= LIMIT * 97, "seed {seed}: {} of {LIMIT}", world.spent);
    }
}

#[test]
fn lowered_limit_stops_spending_beyond_it() {
    for seed in 0..10 {
        let mut world = World::new(seed, CALM);
        while world.spent < LIMIT / 4 {
            world.step += 1;
            (0..ROUTERS).for_each(|index| world.step_router(index));
        }
        let lowered = world.spent + LIMIT / 8;
        world.accounts = Accounts { limit: lowered, version: 2 };
        let by_key = world.accounts.by_key();
        for router in &mut world.routers {
            router.book.set_accounts(&by_key, 2);
        }
        let running: u64 =
            world.routers.iter().flat_map(|it| &it.running).map(|(it, _)| it.tokens).sum();
        while world.step < STEPS {
            world.step += 1;
            (0..ROUTERS).for_each(|index| world.step_router(index));
            assert!(world.spent <= lowered.max(world.spent.min(lowered + running)));
        }
        let row = world.store.rows_of("allowance").first().expect("the row exists").clone();
        let row: AllowanceRow = row.decode().expect("the row is sound");
        assert!(row.drawn <= lowered + running, "{row:?}");
    }
}
