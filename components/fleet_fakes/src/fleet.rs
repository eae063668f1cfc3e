//! The fleet: ledgers, a table, and what is under way between them.

use std::{collections::BinaryHeap, time::Duration};

use budget::{
    AccountSnapshot, Action, Answer, BudgetPeer, BudgetRow, BudgetSettings, Event, Ledger, Ticket,
    budget_key,
};
use platform::{Commit, CommitOutcome, PlatformError, Precondition, Write};
use protocol::BudgetMessage;
use rand::Rng as _;
use standins::TableState;
use types::{AccountName, FailureDomain, Incarnation, RouterId, RouterName, Timestamp, Tokens};
use utils::{Rng, seeded_rng};

use crate::{
    FleetFaults, RouterState,
    carried::{Carried, Item},
    router::FakeRouter,
};

/// Time between two ticks of a router.
const TICK: Duration = Duration::from_millis(20);

/// What happened in one step.
#[derive(Debug)]
pub enum Step {
    /// A router answered requests.
    Answers(usize, Vec<(Ticket, Answer)>),
    /// A mark has become due.
    Timer(u64),
    /// Something else.
    Other,
}

/// Ledgers of several routers, a table, and what is under way between them.
pub struct Fleet {
    /// Present time.
    now: Timestamp,
    /// What is under way.
    queue: BinaryHeap<Carried>,
    /// Number of the last thing that was put under way.
    last_number: u64,
    /// Rows of the table.
    table: TableState,
    /// Routers.
    routers: Vec<FakeRouter>,
    /// Present faults.
    pub faults: FleetFaults,
    /// Settings of the ledgers.
    settings: BudgetSettings,
    /// Random numbers.
    rng: Rng,
    /// Commits that the table has answered or applied.
    commits: u64,
    /// Reads that the table has answered.
    reads: u64,
}

impl Fleet {
    /// Starts a router in each of `domains`.
    pub fn new(settings: BudgetSettings, domains: &[&str], seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp::ZERO,
            queue: BinaryHeap::new(),
            last_number: 0,
            table: TableState::default(),
            routers: Vec::new(),
            faults: FleetFaults::default(),
            settings,
            rng: seeded_rng(seed),
            commits: 0,
            reads: 0,
        };
        for (index, domain) in domains.iter().enumerate() {
            let peer = new_peer(index, domain, 1);
            let ledger = fleet.new_ledger(&peer);
            fleet.routers.push(FakeRouter {
                peer,
                ledger,
                state: RouterState::Running,
                start: 1,
                side: 0,
                reaches_table: true,
                backlog: Vec::new(),
                is_drained: false,
            });
            fleet.start_clock(index);
        }
        for router in 0..domains.len() {
            fleet.push(Duration::ZERO, Item::View { router });
        }
        fleet
    }

    /// Returns the present time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the rows of the table.
    pub fn table(&self) -> &TableState {
        &self.table
    }

    /// Returns the commits and reads that the table has answered.
    pub fn table_calls(&self) -> (u64, u64) {
        (self.commits, self.reads)
    }

    /// Returns how many routers there are.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Tells whether there are no routers.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Returns the state of a router.
    pub fn state(&self, router: usize) -> RouterState {
        self.routers[router].state
    }

    /// Returns the identity of the present start of a router.
    pub fn router_id(&self, router: usize) -> RouterId {
        self.routers[router].peer.id.clone()
    }

    /// Tells whether a router has returned everything.
    pub fn is_drained(&self, router: usize) -> bool {
        self.routers[router].is_drained
    }

    /// Returns the amounts of a router.
    pub fn snapshot(&self, router: usize) -> Vec<AccountSnapshot> {
        self.routers[router].ledger.snapshot()
    }

    /// Applies a commit to the table at once, past all faults.
    pub fn commit_directly(&mut self, commit: &Commit) -> CommitOutcome {
        self.table.commit(commit)
    }

    /// Adds a deposit, past all faults.
    pub fn deposit(&mut self, account: &AccountName, tokens: Tokens) {
        let key = budget_key(account);
        let row = self.table.read(&key);
        let mut budget =
            row.as_ref().map_or_else(BudgetRow::default, |row| row.decode().expect("a sound row"));
        budget.deposited = budget.deposited.saturating_add(tokens);
        let precondition = match &row {
            Some(row) => Precondition::Revision(key.clone(), row.revision),
            None => Precondition::Absent(key.clone()),
        };
        let writes = vec![Write::put(key, &budget)];
        self.commit_directly(&Commit { preconditions: vec![precondition], writes });
    }

    /// Returns the budget row of an account.
    pub fn budget(&self, account: &AccountName) -> BudgetRow {
        let row = self.table.read(&budget_key(account));
        row.map_or_else(BudgetRow::default, |row| row.decode().expect("a sound row"))
    }

    /// Puts a mark under way, for the user of the fleet.
    pub fn set_timer(&mut self, delay: Duration, mark: u64) {
        self.push(delay, Item::Timer(mark));
    }

    /// Puts an event before a router at once. A router that does not run gets a request
    /// after its pause, or never.
    pub fn send(&mut self, router: usize, event: Event) {
        let start = self.routers[router].start;
        self.push(Duration::ZERO, Item::Event { router, start, event });
    }

    /// Ends the process of a router.
    pub fn kill(&mut self, router: usize) {
        self.routers[router].state = RouterState::Dead;
        self.routers[router].backlog.clear();
        self.spread_views();
    }

    /// Starts a dead router anew, under its name.
    pub fn restart(&mut self, router: usize) {
        let incarnation = self.routers[router].start + 1;
        let domain = self.routers[router].peer.failure_domain.to_string();
        let peer = new_peer(router, &domain, incarnation);
        let ledger = self.new_ledger(&peer);
        let it = &mut self.routers[router];
        it.peer = peer;
        it.ledger = ledger;
        it.start = incarnation;
        it.state = RouterState::Running;
        it.is_drained = false;
        it.backlog.clear();
        self.start_clock(router);
        self.spread_views();
    }

    /// Pauses a router.
    pub fn pause(&mut self, router: usize) {
        if self.routers[router].state == RouterState::Running {
            self.routers[router].state = RouterState::Paused;
            self.spread_views();
        }
    }

    /// Lets a paused router go on; it handles what has arrived meanwhile.
    pub fn resume(&mut self, router: usize) {
        if self.routers[router].state != RouterState::Paused {
            return;
        }
        let start = self.routers[router].start;
        self.routers[router].state = RouterState::Running;
        for event in std::mem::take(&mut self.routers[router].backlog) {
            self.push(Duration::ZERO, Item::Event { router, start, event });
        }
        self.start_clock(router);
        self.spread_views();
    }

    /// Puts a router on a side of the partition, with or without the table.
    pub fn set_side(&mut self, router: usize, side: u8, reaches_table: bool) {
        self.routers[router].side = side;
        self.routers[router].reaches_table = reaches_table;
        self.spread_views();
    }

    /// Marks a router as leaving, for its peers.
    pub fn set_leaving(&mut self, router: usize) {
        self.routers[router].peer.is_leaving = true;
        self.spread_views();
    }

    /// Goes on to whatever arrives next.
    pub fn step(&mut self) -> Step {
        let Some(carried) = self.queue.pop() else { return Step::Other };
        self.now = carried.due;
        match carried.item {
            Item::Timer(mark) => return Step::Timer(mark),
            Item::Event { router, start, event } => return self.deliver(router, start, event),
            Item::Tick { router, start } => {
                let is_current = self.routers[router].start == start;
                if is_current && self.routers[router].state == RouterState::Running {
                    self.push(TICK, Item::Tick { router, start });
                    return self.deliver(router, start, Event::Tick);
                }
            }
            Item::View { router } => {
                let start = self.routers[router].start;
                let event = Event::Peers(self.view_of(router));
                return self.deliver(router, start, event);
            }
            Item::Read { router, start, call, keys } => {
                let reaches = self.reaches_table(router);
                let rows = reaches
                    .then(|| keys.iter().map(|key| self.table.read(key)).collect())
                    .ok_or(PlatformError::Unavailable);
                self.reads += u64::from(reaches);
                self.answer_call(router, start, Event::RowsRead { call, rows });
            }
            Item::Commit { router, start, call, commit } => {
                let outcome = self.commit(router, commit);
                self.answer_call(router, start, Event::Committed { call, outcome });
            }
            Item::LateCommit { commit } => {
                self.commits += 1;
                self.table.commit(&commit);
            }
        }
        Step::Other
    }

    fn commit(&mut self, router: usize, commit: Commit) -> CommitOutcome {
        if !self.reaches_table(router) {
            return CommitOutcome::NotApplied(PlatformError::Unavailable);
        }
        if self.rng.random_bool(self.faults.late_commits) {
            let delay = self.faults.late_delay.draw(&mut self.rng);
            self.push(delay, Item::LateCommit { commit });
            return CommitOutcome::Unknown;
        }
        self.commits += 1;
        let outcome = self.table.commit(&commit);
        let is_lost = self.rng.random_bool(self.faults.lost_answers);
        if is_lost { CommitOutcome::Unknown } else { outcome }
    }

    fn answer_call(&mut self, router: usize, start: u64, event: Event) {
        let delay = self.faults.table_delay.draw(&mut self.rng);
        self.push(delay, Item::Event { router, start, event });
    }

    fn deliver(&mut self, router: usize, start: u64, event: Event) -> Step {
        let it = &mut self.routers[router];
        if it.start != start || it.state == RouterState::Dead {
            return Step::Other;
        }
        if it.state == RouterState::Paused {
            if !matches!(event, Event::Tick) {
                it.backlog.push(event);
            }
            return Step::Other;
        }
        let actions = it.ledger.handle(self.now, event);
        let mut answers = Vec::new();
        for action in actions {
            match action {
                Action::Answer { ticket, answer } => answers.push((ticket, answer)),
                Action::Drained => self.routers[router].is_drained = true,
                Action::Read { call, keys } => {
                    let delay = self.faults.table_delay.draw(&mut self.rng);
                    self.push(delay, Item::Read { router, start, call, keys });
                }
                Action::Commit { call, commit } => {
                    let delay = self.faults.table_delay.draw(&mut self.rng);
                    self.push(delay, Item::Commit { router, start, call, commit });
                }
                Action::Send { to, message } => self.carry_message(router, &to, message),
            }
        }
        if answers.is_empty() { Step::Other } else { Step::Answers(router, answers) }
    }

    fn carry_message(&mut self, from: usize, to: &RouterName, message: BudgetMessage) {
        let Some(router) = self.routers.iter().position(|it| it.peer.id.name == *to) else {
            return;
        };
        let meet = self.routers[from].side == self.routers[router].side;
        if !meet || self.rng.random_bool(self.faults.lost_messages) {
            return;
        }
        let start = self.routers[router].start;
        let from = self.routers[from].peer.id.clone();
        let event = Event::Message { from, message };
        if self.rng.random_bool(self.faults.duplicated_messages) {
            let delay = self.faults.late_delay.draw(&mut self.rng);
            self.push(delay, Item::Event { router, start, event: event.clone() });
        }
        let delay = self.faults.message_delay.draw(&mut self.rng);
        self.push(delay, Item::Event { router, start, event });
    }

    fn reaches_table(&self, router: usize) -> bool {
        !self.faults.table_down && self.routers[router].reaches_table
    }

    /// Lets every router learn, after a while, who is alive.
    fn spread_views(&mut self) {
        for router in 0..self.routers.len() {
            let delay = self.faults.detection.draw(&mut self.rng);
            self.push(delay, Item::View { router });
        }
    }

    fn view_of(&self, router: usize) -> Vec<BudgetPeer> {
        let side = self.routers[router].side;
        let others = self.routers.iter().enumerate().filter(|(index, _)| *index != router);
        others
            .filter(|(_, it)| it.state == RouterState::Running && it.side == side)
            .map(|(_, it)| it.peer.clone())
            .collect()
    }

    fn start_clock(&mut self, router: usize) {
        let delay = TICK.mul_f64(self.rng.random_range(0.0..1.0));
        let start = self.routers[router].start;
        self.push(delay, Item::Tick { router, start });
    }

    fn new_ledger(&mut self, peer: &BudgetPeer) -> Ledger {
        Ledger::new(self.settings.clone(), peer.clone(), seeded_rng(self.rng.random()))
    }

    fn push(&mut self, delay: Duration, item: Item) {
        self.last_number += 1;
        let (due, number) = (self.now + delay, self.last_number);
        self.queue.push(Carried { due, number, item });
    }
}

fn new_peer(index: usize, domain: &str, incarnation: u64) -> BudgetPeer {
    let name = RouterName::new(&format!("router-{index}")).expect("a name");
    BudgetPeer {
        id: RouterId::new(name, Incarnation(incarnation)),
        failure_domain: FailureDomain::new(domain).expect("a name"),
        is_leaving: false,
    }
}
