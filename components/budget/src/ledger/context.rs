//! State shared by all accounts of a ledger.

use std::time::Duration;

use protocol::{BudgetBody, BudgetMessage};
use types::{AccountName, RouterName, Timestamp};
use utils::{HashMap, Rng};

use super::PeerSet;
use crate::{Action, Answer, BudgetPeer, BudgetSettings, CallId, ReservationId, Ticket};

/// State shared by all accounts of a ledger.
pub(crate) struct LedgerContext {
    pub(crate) settings: BudgetSettings,
    /// This router.
    pub(crate) local: BudgetPeer,
    /// The other routers.
    pub(crate) peers: PeerSet,
    /// Random number generator for jitter.
    pub(crate) rng: Rng,
    /// Time of the event being handled.
    pub(crate) now: Timestamp,
    /// Whether the router is about to exit and is returning all tokens.
    pub(crate) is_draining: bool,
    /// Minimum time between two commits of an account. Keeps the writes of all routers together far
    /// below the write limit of the table.
    pub(crate) busy_gap: Duration,
    /// Actions resulting from the event being handled.
    pub(crate) actions: Vec<Action>,
    /// Account that each table call in flight belongs to.
    pub(crate) calls: HashMap<CallId, AccountName>,
    /// Last number assigned to a reservation or a call.
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

    /// Assigns the number of a new table call of `account`.
    pub(crate) fn new_call(&mut self, account: &AccountName) -> CallId {
        self.last_number += 1;
        self.calls.insert(self.last_number, account.clone());
        self.last_number
    }

    /// Adds a message to a peer to the actions.
    pub(crate) fn send(&mut self, to: &RouterName, body: BudgetBody) {
        let message = BudgetMessage { body: Some(body) };
        self.actions.push(Action::Send { to: to.clone(), message });
    }

    /// Adds the answer to a request to the actions.
    pub(crate) fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.actions.push(Action::Answer { ticket, answer });
    }
}
