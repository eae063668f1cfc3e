//! Task on the control thread that owns the ledger and executes its actions.

use std::{sync::Arc, time::Duration};

use budget::{
    AccountSnapshot, Action, Answer, Bill, BudgetPeer, BudgetSettings, CallId, Event,
    GrantRecoveryPolicy, Ledger, ReservationId, SettleOutcome, Ticket,
};
use errors::{ErrorKind, Result};
use membership::{Member, MemberState};
use platform::{Commit, CommitOutcome, Key, Table};
use protocol::PeerBody;
use tokio::{
    sync::{mpsc, oneshot},
    time::MissedTickBehavior,
};
use types::{AccountName, Timestamp, UnixMillis};
use utils::{HashMap, Rng};

use super::{ReserveRequest, in_doubt_gauge::InDoubtGauge};
use crate::{Clock, peers::Peers};

/// Interval at which the ledger receives the current time and the list of the other members.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of the updates of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Command to the ledger task.
pub(super) enum Command {
    /// Reserve tokens for a request.
    Reserve { req: ReserveRequest, answer: oneshot::Sender<Result<ReservationId>> },
    /// Settle a bill.
    Settle {
        account: AccountName,
        reservation: ReservationId,
        bill: Bill,
        intent_commit: Commit,
        deadline: Timestamp,
        answer: oneshot::Sender<Result<SettleOutcome>>,
    },
    /// Settle all open bills and return all unspent grants.
    Drain(oneshot::Sender<()>),
    /// Event for the ledger that needs no answer.
    Event(Event),
}

/// Sender that gets the ledger's answer to a request.
enum Waiting {
    Reserve(AccountName, oneshot::Sender<Result<ReservationId>>),
    Settle(oneshot::Sender<Result<SettleOutcome>>),
}

/// The task that owns the ledger.
pub(super) struct LedgerTask {
    /// Ledger, which makes the decisions.
    ledger: Ledger,
    /// Clock.
    clock: Clock,
    /// The platform's table.
    table: Arc<dyn Table>,
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// Returns results of table calls to this task.
    tx: mpsc::UnboundedSender<Command>,
    /// Requests that wait for an answer, by ticket.
    waiting: HashMap<Ticket, Waiting>,
    /// Last ticket that was assigned.
    last_ticket: Ticket,
    /// Senders that are notified at the end of the drain.
    drain_waiters: Vec<oneshot::Sender<()>>,
    /// Whether the drain has ended.
    is_drained: bool,
    /// Peers that the ledger knows.
    known_peers: Vec<BudgetPeer>,
    /// Time of the next update of the gauges.
    next_gauge_update: Timestamp,
    /// Gauge of the tokens in doubt.
    in_doubt: InDoubtGauge,
}

impl LedgerTask {
    /// Creates the task. `tx` must be the sender of the channel that [`run`](LedgerTask::run)
    /// reads.
    pub(super) fn new(
        clock: Clock,
        table: Arc<dyn Table>,
        peers: Arc<dyn Peers>,
        tx: mpsc::UnboundedSender<Command>,
        rng: Rng,
    ) -> LedgerTask {
        let mut settings = BudgetSettings::new(GrantRecoveryPolicy::WitnessedCeilings);
        settings.start_unix_ms = UnixMillis::now().0.saturating_sub(clock.now().as_millis());
        let local = budget_peer(&peers.view().local);
        LedgerTask {
            ledger: Ledger::new(settings, local, rng),
            clock,
            in_doubt: InDoubtGauge::new(table.clone(), peers.clone()),
            table,
            peers,
            tx,
            waiting: HashMap::default(),
            last_ticket: 0,
            drain_waiters: Vec::new(),
            is_drained: false,
            known_peers: Vec::new(),
            next_gauge_update: Timestamp::ZERO,
        }
    }

    /// Runs until the channel of commands is closed.
    pub(super) async fn run(mut self, mut rx: mpsc::UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                // A fixed order makes tests with paused time reproducible.
                biased;
                command = rx.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
            }
        }
    }

    fn on_command(&mut self, command: Command) {
        match command {
            Command::Reserve { req, answer } => {
                let account = req.account.clone();
                let ticket = self.add_waiting(Waiting::Reserve(account.clone(), answer));
                let wait_until = req.deadline.min(self.clock.now() + req.shortage.max_wait);
                self.handle(Event::Reserve { ticket, account, tokens: req.tokens, wait_until });
            }
            Command::Settle { account, reservation, bill, intent_commit, deadline, answer } => {
                let ticket = self.add_waiting(Waiting::Settle(answer));
                let event = Event::Settle {
                    ticket,
                    account,
                    reservation,
                    bill,
                    with: intent_commit,
                    deadline,
                };
                self.handle(event);
            }
            Command::Drain(answer) if self.is_drained => {
                // Sending fails if the receiver no longer waits.
                let _ = answer.send(());
            }
            Command::Drain(answer) => {
                self.drain_waiters.push(answer);
                self.handle(Event::Drain);
            }
            Command::Event(event) => self.handle(event),
        }
    }

    fn on_tick(&mut self) {
        let peers: Vec<BudgetPeer> = self.peers.view().others.iter().map(budget_peer).collect();
        if peers == self.known_peers {
            self.handle(Event::Tick);
        } else {
            self.known_peers.clone_from(&peers);
            self.handle(Event::Peers(peers));
        }
        let now = self.clock.now();
        if now >= self.next_gauge_update {
            self.next_gauge_update = now + GAUGE_INTERVAL;
            let snapshot = self.ledger.snapshot();
            update_gauges(&snapshot);
            self.in_doubt.update(now, &snapshot);
        }
    }

    fn add_waiting(&mut self, waiting: Waiting) -> Ticket {
        self.last_ticket += 1;
        self.waiting.insert(self.last_ticket, waiting);
        self.last_ticket
    }

    fn handle(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.ledger.handle(self.clock.now(), event) {
                events.extend(self.execute(action));
            }
        }
    }

    /// Executes an action; returns a follow-up event for the ledger, if any.
    fn execute(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Read { call, keys } => self.read(call, keys),
            Action::Commit { call, commit } => self.commit(call, commit),
            Action::Send { to, message } => self.peers.send(&to, PeerBody::Budget(message)),
            Action::Answer { ticket, answer } => return self.answer(ticket, answer),
            Action::Drained => {
                self.is_drained = true;
                for answer in self.drain_waiters.drain(..) {
                    // Sending fails if the receiver no longer waits.
                    let _ = answer.send(());
                }
            }
        }
        None
    }

    /// Answers a request. If it no longer waits, returns the event that releases its
    /// reservation.
    fn answer(&mut self, ticket: Ticket, answer: Answer) -> Option<Event> {
        match (self.waiting.remove(&ticket)?, answer) {
            (Waiting::Reserve(account, tx), Answer::Reserved(result)) => {
                count_refusal(&result);
                match tx.send(result) {
                    Err(Ok(reservation)) => Some(Event::Release { account, reservation }),
                    Ok(()) | Err(Err(_)) => None,
                }
            }
            (Waiting::Settle(tx), Answer::Settled(result)) => {
                // Sending fails if the run no longer waits; its bill remains valid.
                let _ = tx.send(result);
                None
            }
            _ => None,
        }
    }

    fn read(&self, call: CallId, keys: Vec<Key>) {
        let (table, tx) = (self.table.clone(), self.tx.clone());
        tokio::spawn(async move {
            let rows = table.read(&keys).await;
            // Sending fails if the task has ended.
            let _ = tx.send(Command::Event(Event::RowsRead { call, rows }));
        });
    }

    fn commit(&self, call: CallId, commit: Commit) {
        let (table, tx) = (self.table.clone(), self.tx.clone());
        tokio::spawn(async move {
            let outcome = table.commit(&commit).await;
            count_commit(&outcome);
            // Sending fails if the task has ended.
            let _ = tx.send(Command::Event(Event::Committed { call, outcome }));
        });
    }
}

fn budget_peer(member: &Member) -> BudgetPeer {
    BudgetPeer {
        id: member.id.clone(),
        failure_domain: member.failure_domain.clone(),
        is_leaving: member.state == MemberState::Leaving,
    }
}

fn count_refusal(result: &Result<ReservationId>) {
    if let Err(error) = result {
        let reason = ErrorKind::code(error.kind());
        metrics::counter!(telemetry::BUDGET_REFUSALS_TOTAL, "reason" => reason).increment(1);
    }
}

fn count_commit(outcome: &CommitOutcome) {
    let label = match outcome {
        CommitOutcome::Committed(_) => "committed",
        CommitOutcome::Conflict(_) => "conflict",
        CommitOutcome::NotApplied(_) => "not_applied",
        CommitOutcome::Unknown => "unknown",
    };
    metrics::counter!(telemetry::BUDGET_COMMITS_TOTAL, "outcome" => label).increment(1);
}

fn update_gauges(snapshot: &[AccountSnapshot]) {
    for it in snapshot {
        let account = it.account.to_string();
        let set = |name: &'static str, value: u64| {
            metrics::gauge!(name, "account" => account.clone()).set(value as f64);
        };
        set(telemetry::GRANTED_TOKENS, it.unspent.0);
        set(telemetry::RESERVED_TOKENS, it.reserved.0);
        set(telemetry::UNSETTLED_TOKENS, it.unsettled.0);
        set(telemetry::BUDGET_WAITING_REQUESTS, it.waiting as u64);
    }
}
