//! Accounting by grants: requests are paid from tokens that the router has drawn from the
//! budget in advance.

use std::sync::Arc;

use async_trait::async_trait;
use budget::{Bill, Event, SettleOutcome};
use errors::{Error, ErrorKind, Result};
use platform::{Commit, Table};
use protocol::PeerBody;
use tokio::{
    runtime::Handle,
    sync::{mpsc, oneshot},
};
use types::{RouterId, Timestamp, Tokens};
use utils::Rng;

use super::{
    Accounting, Reservation, ReserveRequest,
    ledger_task::{Command, LedgerTask},
};
use crate::{
    Clock,
    peers::{PeerHandler, Peers},
};

/// Accounting by grants. A task on the control thread makes the decisions.
pub struct GrantAccounting {
    /// Clock.
    clock: Clock,
    /// Commands to the ledger task.
    tx: mpsc::UnboundedSender<Command>,
}

/// Passes budget messages of other routers to the ledger task.
struct BudgetMessageHandler {
    /// Commands to the ledger task.
    tx: mpsc::UnboundedSender<Command>,
}

impl GrantAccounting {
    /// Starts the accounting with a task on `control`. Rows are in `table`; `rng` spreads the
    /// calls to it over time.
    pub fn start(
        control: &Handle,
        clock: Clock,
        table: Arc<dyn Table>,
        peers: Arc<dyn Peers>,
        rng: Rng,
    ) -> GrantAccounting {
        let (tx, rx) = mpsc::unbounded_channel();
        peers.subscribe(Arc::new(BudgetMessageHandler { tx: tx.clone() }));
        let task = LedgerTask::new(clock, table, peers, tx.clone(), rng);
        control.spawn(task.run(rx));
        GrantAccounting { clock, tx }
    }

    fn send(&self, command: Command) {
        // Sending fails if the task has ended. The process is ending then, and nobody waits for
        // an answer.
        let _ = self.tx.send(command);
    }
}

#[async_trait]
impl Accounting for GrantAccounting {
    async fn reserve(&self, req: &ReserveRequest) -> Result<Reservation> {
        let (answer, rx) = oneshot::channel();
        self.send(Command::Reserve { req: req.clone(), answer });
        let id = rx.await.map_err(|_| task_ended_error())??;
        Ok(Reservation { id, account: req.account.clone(), tokens: req.tokens })
    }

    fn shrink(&self, reservation: &mut Reservation, tokens: Tokens) {
        if tokens >= reservation.tokens {
            return;
        }
        reservation.tokens = tokens;
        let account = reservation.account.clone();
        let event = Event::Shrink { account, reservation: reservation.id, tokens };
        self.send(Command::Event(event));
    }

    fn release(&self, reservation: Reservation) {
        let Reservation { id, account, .. } = reservation;
        self.send(Command::Event(Event::Release { account, reservation: id }));
    }

    async fn settle(
        &self,
        reservation: Reservation,
        bill: Bill,
        intent_commit: Commit,
        deadline: Timestamp,
    ) -> Result<SettleOutcome> {
        let (answer, rx) = oneshot::channel();
        self.send(Command::Settle {
            account: reservation.account,
            reservation: reservation.id,
            bill,
            intent_commit,
            deadline,
            answer,
        });
        rx.await.map_err(|_| task_ended_error())?
    }

    async fn drain(&self, deadline: Timestamp) -> Result<()> {
        let (answer, rx) = oneshot::channel();
        self.send(Command::Drain(answer));
        match tokio::time::timeout(self.clock.time_left_until(deadline), rx).await {
            Ok(Ok(())) => Ok(()),
            _ => {
                let message = "not all bills were settled and grants returned before the deadline";
                Err(Error::new(ErrorKind::StoreUnavailable, message))
            }
        }
    }
}

impl PeerHandler for BudgetMessageHandler {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        if let PeerBody::Budget(message) = body {
            let event = Event::Message { from: from.clone(), message: message.clone() };
            // Sending fails if the task has ended.
            let _ = self.tx.send(Command::Event(event));
        }
    }
}

fn task_ended_error() -> Error {
    Error::new(
        ErrorKind::RouterLeaving,
        "the router is shutting down and its accounting has stopped",
    )
}
