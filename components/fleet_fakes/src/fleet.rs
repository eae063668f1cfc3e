//! The simulated fleet.

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
    router::FakeRouter,
    scheduled_event::{ScheduledEvent, SimulationEvent},
};

/// Interval between two ticks of a router's clock.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Result of one step of the simulation.
#[derive(Debug)]
pub enum Step {
    /// A router answered requests. Holds its index and the answers.
    Answers(usize, Vec<(Ticket, Answer)>),
    /// A timer set with [`Fleet::set_timer`] has expired. Holds the timer's number.
    Timer(u64),
    /// Any other event, which needs no handling outside the fleet.
    Other,
}

/// The ledgers of several routers, a table, and the messages and calls between them, on simulated
/// time. Routers are addressed by their index.
pub struct Fleet {
    now: Timestamp,
    /// Scheduled events.
    queue: BinaryHeap<ScheduledEvent>,
    /// Sequence number of the event that was scheduled last.
    last_sequence: u64,
    table: TableState,
    routers: Vec<FakeRouter>,
    /// Current faults, which may be changed at any time.
    pub faults: FleetFaults,
    /// Settings of each ledger.
    settings: BudgetSettings,
    rng: Rng,
    /// Number of commits that reached the table.
    commits: u64,
    /// Number of reads that reached the table.
    reads: u64,
}

impl Fleet {
    /// Starts one router for each entry of `domains`, in that failure domain.
    pub fn new(settings: BudgetSettings, domains: &[&str], seed: u64) -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp::ZERO,
            queue: BinaryHeap::new(),
            last_sequence: 0,
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
                incarnation: 1,
                side: 0,
                reaches_table: true,
                backlog: Vec::new(),
                is_drained: false,
            });
            fleet.start_clock(index);
        }
        for router in 0..domains.len() {
            fleet.schedule(Duration::ZERO, SimulationEvent::PeerUpdate { router });
        }
        fleet
    }

    /// Returns the current simulated time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Returns the table, bypassing all faults.
    pub fn table(&self) -> &TableState {
        &self.table
    }

    /// Returns the numbers of commits and of reads that reached the table.
    pub fn table_calls(&self) -> (u64, u64) {
        (self.commits, self.reads)
    }

    /// Returns the number of routers, including those that do not run.
    pub fn len(&self) -> usize {
        self.routers.len()
    }

    /// Reports whether the fleet has no routers.
    pub fn is_empty(&self) -> bool {
        self.routers.is_empty()
    }

    /// Returns the run state of a router.
    pub fn state(&self, router: usize) -> RouterState {
        self.routers[router].state
    }

    /// Returns the identity of the current incarnation of a router.
    pub fn router_id(&self, router: usize) -> RouterId {
        self.routers[router].peer.id.clone()
    }

    /// Reports whether a router has returned all of its tokens to the budgets.
    pub fn is_drained(&self, router: usize) -> bool {
        self.routers[router].is_drained
    }

    /// Returns the amounts of each account on a router.
    pub fn snapshot(&self, router: usize) -> Vec<AccountSnapshot> {
        self.routers[router].ledger.snapshot()
    }

    /// Applies a commit to the table immediately, bypassing all faults.
    pub fn commit_directly(&mut self, commit: &Commit) -> CommitOutcome {
        self.table.commit(commit)
    }

    /// Adds a deposit to the budget row of an account, bypassing all faults.
    pub fn deposit(&mut self, account: &AccountName, tokens: Tokens) {
        let key = budget_key(account);
        let row = self.table.read(&key);
        let mut budget = row
            .as_ref()
            .map_or_else(BudgetRow::default, |row| row.decode().expect("a valid budget row"));
        budget.deposited = budget.deposited.saturating_add(tokens);
        let precondition = match &row {
            Some(row) => Precondition::Revision(key.clone(), row.revision),
            None => Precondition::Absent(key.clone()),
        };
        let writes = vec![Write::put(key, &budget)];
        self.commit_directly(&Commit { preconditions: vec![precondition], writes });
    }

    /// Returns the budget row of an account; a default row if there is none.
    pub fn budget(&self, account: &AccountName) -> BudgetRow {
        let row = self.table.read(&budget_key(account));
        row.map_or_else(BudgetRow::default, |row| row.decode().expect("a valid budget row"))
    }

    /// Sets a timer, which [`step`](Fleet::step) reports as [`Step::Timer`] after `delay`.
    pub fn set_timer(&mut self, delay: Duration, number: u64) {
        self.schedule(delay, SimulationEvent::Timer(number));
    }

    /// Schedules an event for the ledger of a router at the current time. A paused router receives
    /// the event once it resumes; a dead router never does.
    pub fn send(&mut self, router: usize, event: Event) {
        let incarnation = self.routers[router].incarnation;
        self.schedule(Duration::ZERO, SimulationEvent::Ledger { router, incarnation, event });
    }

    /// Ends the process of a router. The others learn of it after the detection delay.
    pub fn kill(&mut self, router: usize) {
        self.routers[router].state = RouterState::Dead;
        self.routers[router].backlog.clear();
        self.schedule_peer_updates();
    }

    /// Starts the next incarnation of a router, with an empty ledger.
    pub fn restart(&mut self, router: usize) {
        let incarnation = self.routers[router].incarnation + 1;
        let domain = self.routers[router].peer.failure_domain.to_string();
        let peer = new_peer(router, &domain, incarnation);
        let ledger = self.new_ledger(&peer);
        let fake_router = &mut self.routers[router];
        fake_router.peer = peer;
        fake_router.ledger = ledger;
        fake_router.incarnation = incarnation;
        fake_router.state = RouterState::Running;
        fake_router.is_drained = false;
        fake_router.backlog.clear();
        self.start_clock(router);
        self.schedule_peer_updates();
    }

    /// Pauses a running router. Does nothing if the router is not running.
    pub fn pause(&mut self, router: usize) {
        if self.routers[router].state == RouterState::Running {
            self.routers[router].state = RouterState::Paused;
            self.schedule_peer_updates();
        }
    }

    /// Resumes a paused router, which then handles the events that arrived meanwhile. Does nothing
    /// if the router is not paused.
    pub fn resume(&mut self, router: usize) {
        if self.routers[router].state != RouterState::Paused {
            return;
        }
        let incarnation = self.routers[router].incarnation;
        self.routers[router].state = RouterState::Running;
        for event in std::mem::take(&mut self.routers[router].backlog) {
            self.schedule(Duration::ZERO, SimulationEvent::Ledger { router, incarnation, event });
        }
        self.start_clock(router);
        self.schedule_peer_updates();
    }

    /// Puts a router on a side of the network partition and sets whether it reaches the table.
    pub fn set_side(&mut self, router: usize, side: u8, reaches_table: bool) {
        self.routers[router].side = side;
        self.routers[router].reaches_table = reaches_table;
        self.schedule_peer_updates();
    }

    /// Makes a router appear as leaving to its peers.
    pub fn set_leaving(&mut self, router: usize) {
        self.routers[router].peer.is_leaving = true;
        self.schedule_peer_updates();
    }

    /// Advances the time to the next scheduled event and handles the event.
    pub fn step(&mut self) -> Step {
        let Some(scheduled) = self.queue.pop() else { return Step::Other };
        self.now = scheduled.due;
        match scheduled.event {
            SimulationEvent::Timer(number) => return Step::Timer(number),
            SimulationEvent::Ledger { router, incarnation, event } => {
                return self.deliver(router, incarnation, event);
            }
            SimulationEvent::Tick { router, incarnation } => {
                let is_current = self.routers[router].incarnation == incarnation;
                if is_current && self.routers[router].state == RouterState::Running {
                    self.schedule(TICK_INTERVAL, SimulationEvent::Tick { router, incarnation });
                    return self.deliver(router, incarnation, Event::Tick);
                }
            }
            SimulationEvent::PeerUpdate { router } => {
                let incarnation = self.routers[router].incarnation;
                let event = Event::Peers(self.live_peers_of(router));
                return self.deliver(router, incarnation, event);
            }
            SimulationEvent::Read { router, incarnation, call, keys } => {
                let is_reachable = self.reaches_table(router);
                let rows = is_reachable
                    .then(|| keys.iter().map(|key| self.table.read(key)).collect())
                    .ok_or(PlatformError::Unavailable);
                self.reads += u64::from(is_reachable);
                self.answer_call(router, incarnation, Event::RowsRead { call, rows });
            }
            SimulationEvent::Commit { router, incarnation, call, commit } => {
                let outcome = self.commit(router, commit);
                self.answer_call(router, incarnation, Event::Committed { call, outcome });
            }
            SimulationEvent::LateCommit { commit } => {
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
            self.schedule(delay, SimulationEvent::LateCommit { commit });
            return CommitOutcome::Unknown;
        }
        self.commits += 1;
        let outcome = self.table.commit(&commit);
        let is_lost = self.rng.random_bool(self.faults.lost_answers);
        if is_lost { CommitOutcome::Unknown } else { outcome }
    }

    fn answer_call(&mut self, router: usize, incarnation: u64, event: Event) {
        let delay = self.faults.table_delay.draw(&mut self.rng);
        self.schedule(delay, SimulationEvent::Ledger { router, incarnation, event });
    }

    fn deliver(&mut self, router: usize, incarnation: u64, event: Event) -> Step {
        let fake_router = &mut self.routers[router];
        if fake_router.incarnation != incarnation || fake_router.state == RouterState::Dead {
            return Step::Other;
        }
        if fake_router.state == RouterState::Paused {
            if !matches!(event, Event::Tick) {
                fake_router.backlog.push(event);
            }
            return Step::Other;
        }
        let actions = fake_router.ledger.handle(self.now, event);
        let mut answers = Vec::new();
        for action in actions {
            match action {
                Action::Answer { ticket, answer } => answers.push((ticket, answer)),
                Action::Drained => self.routers[router].is_drained = true,
                Action::Read { call, keys } => {
                    let delay = self.faults.table_delay.draw(&mut self.rng);
                    self.schedule(delay, SimulationEvent::Read { router, incarnation, call, keys });
                }
                Action::Commit { call, commit } => {
                    let delay = self.faults.table_delay.draw(&mut self.rng);
                    self.schedule(
                        delay,
                        SimulationEvent::Commit { router, incarnation, call, commit },
                    );
                }
                Action::Send { to, message } => self.send_message(router, &to, message),
            }
        }
        if answers.is_empty() { Step::Other } else { Step::Answers(router, answers) }
    }

    fn send_message(&mut self, from: usize, to: &RouterName, message: BudgetMessage) {
        let Some(router) = self.routers.iter().position(|it| it.peer.id.name == *to) else {
            return;
        };
        let is_connected = self.routers[from].side == self.routers[router].side;
        if !is_connected || self.rng.random_bool(self.faults.lost_messages) {
            return;
        }
        let incarnation = self.routers[router].incarnation;
        let from = self.routers[from].peer.id.clone();
        let event = Event::Message { from, message };
        if self.rng.random_bool(self.faults.duplicated_messages) {
            let delay = self.faults.late_delay.draw(&mut self.rng);
            self.schedule(
                delay,
                SimulationEvent::Ledger { router, incarnation, event: event.clone() },
            );
        }
        let delay = self.faults.message_delay.draw(&mut self.rng);
        self.schedule(delay, SimulationEvent::Ledger { router, incarnation, event });
    }

    fn reaches_table(&self, router: usize) -> bool {
        !self.faults.table_down && self.routers[router].reaches_table
    }

    /// Schedules an update of each router's live peers after the detection delay.
    fn schedule_peer_updates(&mut self) {
        for router in 0..self.routers.len() {
            let delay = self.faults.detection_delay.draw(&mut self.rng);
            self.schedule(delay, SimulationEvent::PeerUpdate { router });
        }
    }

    fn live_peers_of(&self, router: usize) -> Vec<BudgetPeer> {
        let side = self.routers[router].side;
        let others = self.routers.iter().enumerate().filter(|(index, _)| *index != router);
        others
            .filter(|(_, it)| it.state == RouterState::Running && it.side == side)
            .map(|(_, it)| it.peer.clone())
            .collect()
    }

    fn start_clock(&mut self, router: usize) {
        let delay = TICK_INTERVAL.mul_f64(self.rng.random_range(0.0..1.0));
        let incarnation = self.routers[router].incarnation;
        self.schedule(delay, SimulationEvent::Tick { router, incarnation });
    }

    fn new_ledger(&mut self, peer: &BudgetPeer) -> Ledger {
        Ledger::new(self.settings.clone(), peer.clone(), seeded_rng(self.rng.random()))
    }

    fn schedule(&mut self, delay: Duration, event: SimulationEvent) {
        self.last_sequence += 1;
        let (due, sequence) = (self.now + delay, self.last_sequence);
        self.queue.push(ScheduledEvent { due, sequence, event });
    }
}

fn new_peer(index: usize, domain: &str, incarnation: u64) -> BudgetPeer {
    let name = RouterName::new(&format!("router-{index}")).expect("a valid name");
    BudgetPeer {
        id: RouterId::new(name, Incarnation(incarnation)),
        failure_domain: FailureDomain::new(domain).expect("a valid name"),
        is_leaving: false,
    }
}
