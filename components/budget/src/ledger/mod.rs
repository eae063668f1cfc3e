//! Budgets of all client accounts on one router.

mod context;
mod messages;
mod peer_set;

use std::{collections::BTreeMap, time::Duration};

use types::{AccountName, Timestamp};
use utils::Rng;

pub(crate) use self::{context::LedgerContext, peer_set::PeerSet};
use crate::{
    AccountSnapshot, Action, BudgetPeer, BudgetSettings, CallId, Event, HeldBill, account::Account,
};

/// Writes per second that all routers together aim to stay below.
const TARGET_WRITES_PER_SECOND: u32 = 100;

/// Upper limit for the minimum time between two commits of an account.
const BUSY_GAP_MAX: Duration = Duration::from_secs(5);

/// Budgets of all client accounts on one router, as a state machine without I/O or clock.
///
/// The caller passes in events, carries out the returned actions and passes their results back as
/// events. It also passes in [`Event::Tick`] every few milliseconds.
pub struct Ledger {
    /// State shared by the accounts.
    cx: LedgerContext,
    accounts: BTreeMap<AccountName, Account>,
    /// Whether [`Action::Drained`] was already returned.
    is_drained: bool,
}

impl Ledger {
    /// Creates the ledger of router `local`, without accounts.
    pub fn new(settings: BudgetSettings, local: BudgetPeer, rng: Rng) -> Ledger {
        let cx = LedgerContext::new(settings, local, rng);
        Ledger { cx, accounts: BTreeMap::new(), is_drained: false }
    }

    /// Handles an event and returns the actions to carry out. `now` must never decrease.
    pub fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        self.cx.now = now;
        match event {
            Event::Tick => self.tick(),
            Event::Peers(peers) => self.update_peers(peers),
            Event::Drain => {
                self.cx.is_draining = true;
                self.tick();
            }
            Event::Message { from, message } => self.on_message(&from, &message),
            Event::RowsRead { call, rows } => {
                self.with_call(call, |account, cx| account.on_rows(cx, call, rows));
            }
            Event::Committed { call, outcome } => {
                self.with_call(call, |account, cx| account.on_committed(cx, call, outcome));
            }
            request => self.on_request(request),
        }
        self.report_drained();
        std::mem::take(&mut self.cx.actions)
    }

    /// Returns the current amounts of each account.
    pub fn snapshot(&self) -> Vec<AccountSnapshot> {
        let to_snapshot = |(name, account): (&AccountName, &Account)| AccountSnapshot {
            account: name.clone(),
            unspent: account.unspent(),
            reserved: account.reserved_total(),
            unsettled: account.bills_total(),
            waiting: account.waiting_len(),
        };
        self.accounts.iter().map(to_snapshot).collect()
    }

    fn on_request(&mut self, event: Event) {
        match event {
            Event::Reserve { ticket, account, tokens, wait_until } => {
                self.with_account(&account, |it, cx| it.reserve(cx, ticket, tokens, wait_until));
            }
            Event::Cancel { account, ticket } => {
                self.with_account(&account, |it, _| it.cancel(ticket));
            }
            Event::Shrink { account, reservation, tokens } => {
                self.with_account(&account, |it, _| it.shrink(reservation, tokens));
            }
            Event::Release { account, reservation } => {
                self.with_account(&account, |it, cx| {
                    it.release(cx, reservation);
                });
            }
            Event::Settle { ticket, account, reservation, bill, with, deadline } => {
                let held = HeldBill { bill, with };
                self.with_account(&account, |it, cx| {
                    it.settle(cx, ticket, reservation, held, deadline);
                });
            }
            _ => {}
        }
    }

    /// Calls `f` on an account, creating it if needed, and then does the work that is due in it.
    fn with_account(
        &mut self,
        name: &AccountName,
        f: impl FnOnce(&mut Account, &mut LedgerContext),
    ) {
        let account = self
            .accounts
            .entry(name.clone())
            .or_insert_with(|| Account::new(name.clone(), &self.cx.local.id));
        f(account, &mut self.cx);
        account.advance(&mut self.cx);
    }

    /// Calls `f` on the account that made a table call.
    fn with_call(&mut self, call: CallId, f: impl FnOnce(&mut Account, &mut LedgerContext)) {
        if let Some(name) = self.cx.calls.remove(&call) {
            self.with_account(&name, f);
        }
    }

    fn tick(&mut self) {
        self.update_busy_gap();
        self.cx.peers.expire_unseen_senders(self.cx.now);
        for account in self.accounts.values_mut() {
            account.advance(&mut self.cx);
        }
    }

    fn update_peers(&mut self, peers: Vec<BudgetPeer>) {
        self.cx.peers.update(peers);
        for account in self.accounts.values_mut() {
            account.recheck_holders(&self.cx);
        }
        self.tick();
    }

    fn update_busy_gap(&mut self) {
        let busy = self.accounts.values().filter(|it| it.is_busy(&self.cx)).count();
        let writers = busy * (self.cx.peers.live().len() + 1);
        let writers = u32::try_from(writers).unwrap_or(u32::MAX);
        self.cx.busy_gap = (Duration::from_secs(1).saturating_mul(writers)
            / TARGET_WRITES_PER_SECOND)
            .min(BUSY_GAP_MAX);
    }

    fn report_drained(&mut self) {
        let is_drained = self.cx.is_draining && self.accounts.values().all(Account::is_drained);
        if is_drained && !self.is_drained {
            self.is_drained = true;
            self.cx.actions.push(Action::Drained);
        }
    }
}
