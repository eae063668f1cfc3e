//! Accounting by grants: requests are paid from what the router has taken of the budget
//! beforehand.

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

/// Accounting by grants. The decisions are made by a task on the control thread.
pub struct GrantAccounting {
    /// Clock.
    clock: Clock,
    /// To the task.
    tx: mpsc::UnboundedSender<Command>,
}

/// Hands messages of peers to the task.
struct BudgetMessages {
    /// To the task.
    tx: mpsc::UnboundedSender<Command>,
}

impl GrantAccounting {
    /// Starts the accounting over `table` with a task on `control`; `rng` spreads its
    /// calls over time.
    pub fn start(
        control: &Handle,
        clock: Clock,
        table: Arc<dyn Table>,
        peers: Arc<dyn Peers>,
        rng: Rng,
    ) -> GrantAccounting {
        let (tx, rx) = mpsc::unbounded_channel();
        peers.subscribe(Arc::new(BudgetMessages { tx: tx.clone() }));
        let task = LedgerTask::new(clock, table, peers, tx.clone(), rng);
        control.spawn(task.run(rx));
        GrantAccounting { clock, tx }
    }

    fn send(&self, command: Command) {
        // Where the task has ended, the process ends too, and answers are not awaited.
        let _ = self.tx.send(command);
    }
}

#[async_trait]
impl Accounting for GrantAccounting {
    async fn reserve(&self, req: &ReserveRequest) -> Result<Reservation> {
        let (answer, rx) = oneshot::channel();
        self.send(Command::Reserve { req: req.clone(), answer });
        let id = rx.await.map_err(|_| task_ended())??;
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
        with: Commit,
        deadline: Timestamp,
    ) -> Result<SettleOutcome> {
        let (answer, rx) = oneshot::channel();
        self.send(Command::Settle {
            account: reservation.account,
            reservation: reservation.id,
            bill,
            with,
            deadline,
            answer,
        });
        rx.await.map_err(|_| task_ended())?
    }

    async fn drain(&self, deadline: Timestamp) -> Result<()> {
        let (answer, rx) = oneshot::channel();
        self.send(Command::Drain(answer));
        match tokio::time::timeout(self.clock.left_until(deadline), rx).await {
            Ok(Ok(())) => Ok(()),
            _ => {
                let message = "not all bills were settled and grants returned in time";
                Err(Error::new(ErrorKind::StoreUnavailable, message))
            }
        }
    }
}

impl PeerHandler for BudgetMessages {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        if let PeerBody::Budget(message) = body {
            let event = Event::Message { from: from.clone(), message: message.clone() };
            // The task may have ended.
            let _ = self.tx.send(Command::Event(event));
        }
    }
}

fn task_ended() -> Error {
    Error::new(ErrorKind::RouterLeaving, "the router has ended its accounting")
}
