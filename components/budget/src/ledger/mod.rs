//! A router's side of all its accounts.

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

/// Writes a second that all routers together aim to stay below.
const TARGET_WRITES_PER_SECOND: u32 = 100;

/// Longest time between two commits of a busy account.
const BUSY_GAP_MAX: Duration = Duration::from_secs(5);

/// A router's side of all its accounts: a state machine without clock and network.
///
/// Its owner feeds it events, carries out the actions that it returns, and feeds back
/// their results. It also feeds [`Event::Tick`] every few milliseconds.
pub struct Ledger {
    /// What the accounts share.
    cx: LedgerContext,
    /// Accounts, by name.
    accounts: BTreeMap<AccountName, Account>,
    /// Whether [`Action::Drained`] was returned.
    is_drained: bool,
}

impl Ledger {
    /// Creates the ledger of router `local`.
    pub fn new(settings: BudgetSettings, local: BudgetPeer, rng: Rng) -> Ledger {
        let cx = LedgerContext::new(settings, local, rng);
        Ledger { cx, accounts: BTreeMap::new(), is_drained: false }
    }

    /// Handles an event and returns what is to be done. `now` never goes back.
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

    /// Returns the present amounts of each account.
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

    /// Runs `f` on an account, and then whatever is due in it.
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

    /// Runs `f` on the account that has made a call to the table.
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
