//! What the accounts of a ledger share.

use std::time::Duration;

use protocol::{BudgetBody, BudgetMessage};
use types::{AccountName, RouterName, Timestamp};
use utils::{HashMap, Rng};

use super::PeerSet;
use crate::{Action, Answer, BudgetPeer, BudgetSettings, CallId, ReservationId, Ticket};

/// What the accounts of a ledger share.
pub(crate) struct LedgerContext {
    /// Settings.
    pub(crate) settings: BudgetSettings,
    /// This router.
    pub(crate) local: BudgetPeer,
    /// The other routers.
    pub(crate) peers: PeerSet,
    /// Random numbers.
    pub(crate) rng: Rng,
    /// Time of the present event.
    pub(crate) now: Timestamp,
    /// Whether the router returns everything, to end.
    pub(crate) is_draining: bool,
    /// Time between two commits of an account that keeps all routers together far below
    /// the write limit of the table.
    pub(crate) busy_gap: Duration,
    /// Actions of the present event.
    pub(crate) actions: Vec<Action>,
    /// Accounts of the open calls to the table.
    pub(crate) calls: HashMap<CallId, AccountName>,
    /// Last number that was given out.
    last_number: u64,
}

impl LedgerContext {
    pub(crate) fn new(settings: BudgetSettings, local: BudgetPeer, rng: Rng) -> LedgerContext {
        LedgerContext {
            settings,
            local,
            peers: PeerSet::default(),
            rng,
            now: Timestamp::ZERO,
            is_draining: false,
            busy_gap: Duration::ZERO,
            actions: Vec::new(),
            calls: HashMap::default(),
            last_number: 0,
        }
    }

    /// Returns the number of a new reservation.
    pub(crate) fn new_reservation(&mut self) -> ReservationId {
        self.last_number += 1;
        self.last_number
    }

    /// Returns the number of a new call to the table for `account`.
    pub(crate) fn new_call(&mut self, account: &AccountName) -> CallId {
        self.last_number += 1;
        self.calls.insert(self.last_number, account.clone());
        self.last_number
    }

    /// Sends a message.
    pub(crate) fn send(&mut self, to: &RouterName, body: BudgetBody) {
        let message = BudgetMessage { body: Some(body) };
        self.actions.push(Action::Send { to: to.clone(), message });
    }

    /// Answers a request.
    pub(crate) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Answer { ticket, answer });
    }
}
