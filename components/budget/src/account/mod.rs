//! One router's side of one account.

mod bills;
mod ceiling;
mod cycle;
mod foreign_plan;
mod lending;
mod own_plan;
mod own_row;
mod reservations;

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use platform::Revision;
use protocol::BilledRequest;
use types::{AccountName, RequestKey, RouterId, RouterName, Timestamp, Tokens};
use utils::HashMap;

pub(crate) use self::bills::held_answer;
use self::{
    bills::PendingBill, ceiling::Witnessed, cycle::Call, lending::AskRound, own_row::Uncertain,
    reservations::Waiter,
};
use crate::{
    BudgetRow, GrantRow, HeldBill, ReservationId, ledger::LedgerContext, spend_rate::SpendRate,
};

/// Time since the last request for which an account counts as busy.
const BUSY_FOR: Duration = Duration::from_secs(5);

/// One router's side of one account.
///
/// Invariant: `claims <= unspent - returning + borrowed`, and with a witness
/// `spent + claims <= ceiling`, where the amounts are those of the functions below.
pub(crate) struct Account {
    /// Name.
    name: AccountName,
    /// Grant row as last known; empty where there is none.
    row: GrantRow,
    /// Revision of the grant row; `None` where there is none.
    revision: Option<Revision>,
    /// Commits that may have changed the grant row without our knowing.
    uncertain: Vec<Uncertain>,
    /// Budget row as last known.
    budget: Option<BudgetRow>,
    /// When the budget row was last read.
    budget_read: Option<Timestamp>,
    /// Why the rows cannot be used, where they cannot.
    row_fault: Option<String>,
    /// Highest ceiling that the row or its witness has acknowledged.
    ceiling: Tokens,
    /// Epoch of which the witness has heard.
    known_epoch: Option<u64>,
    /// Epoch that the witness has said to be closed.
    refused_epoch: Option<u64>,
    /// When the witness was last asked for a higher ceiling.
    ceiling_asked: Option<Timestamp>,
    /// Reservations.
    reserved: HashMap<ReservationId, Tokens>,
    /// Sum of the reservations.
    reserved_total: Tokens,
    /// Bills that are not known to be in the table, oldest first.
    bills: BTreeMap<u64, PendingBill>,
    /// Places of the pending bills that too few peers hold.
    unheld: BTreeSet<u64>,
    /// Places of the pending bills.
    bill_places: HashMap<RequestKey, u64>,
    /// Sum of the pending bills.
    bills_total: Tokens,
    /// Place of the next bill.
    next_bill: u64,
    /// Bills that their holders may forget, by holder.
    forgets: BTreeMap<RouterName, Vec<BilledRequest>>,
    /// Loans given to each borrower.
    lent: BTreeMap<RouterId, lending::Lent>,
    /// Loans received from each lender, in all. Never shrink.
    borrowed: BTreeMap<RouterId, Tokens>,
    /// Loans that peers have asked for and that wait for a higher ceiling.
    asked: BTreeMap<RouterId, lending::Asked>,
    /// The present round of asking peers for loans.
    ask_round: Option<AskRound>,
    /// When the next round of asking may start.
    next_round: Timestamp,
    /// Requests that wait, first come first served.
    waiting: VecDeque<Waiter>,
    /// Spend rate.
    rate: SpendRate,
    /// When the last request came or ended, if any did.
    last_used: Option<Timestamp>,
    /// Ceilings kept for other routers.
    witnessed: BTreeMap<RouterId, Witnessed>,
    /// Bills held for other routers.
    held: BTreeMap<RouterId, BTreeMap<RequestKey, HeldBill>>,
    /// Router whose row was looked at last, as witness, holder or lender.
    last_foreign: Option<RouterId>,
    /// Open call to the table.
    call: Option<Call>,
    /// When the next call for an urgent purpose may start.
    next_urgent: Timestamp,
    /// When the next call for any other purpose may start.
    next_idle: Timestamp,
    /// Since when the table has not answered.
    failing_since: Option<Timestamp>,
    /// Whether a commit's outcome is to be read back.
    must_read_back: bool,
}

impl Account {
    /// Creates this router's side of an account that it has not read yet.
    pub(crate) fn new(name: AccountName, local: &RouterId) -> Account {
        Account {
            name,
            row: GrantRow::new(local.clone()),
            revision: None,
            uncertain: Vec::new(),
            budget: None,
            budget_read: None,
            row_fault: None,
            ceiling: Tokens::ZERO,
            known_epoch: None,
            refused_epoch: None,
            ceiling_asked: None,
            reserved: HashMap::default(),
            reserved_total: Tokens::ZERO,
            bills: BTreeMap::new(),
            unheld: BTreeSet::new(),
            bill_places: HashMap::default(),
            bills_total: Tokens::ZERO,
            next_bill: 0,
            forgets: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            asked: BTreeMap::new(),
            ask_round: None,
            next_round: Timestamp::ZERO,
            waiting: VecDeque::new(),
            rate: SpendRate::default(),
            last_used: None,
            witnessed: BTreeMap::new(),
            held: BTreeMap::new(),
            last_foreign: None,
            call: None,
            next_urgent: Timestamp::ZERO,
            next_idle: Timestamp::ZERO,
            failing_since: None,
            must_read_back: false,
        }
    }

    /// Returns the tokens that are reserved.
    pub(crate) fn reserved_total(&self) -> Tokens {
        self.reserved_total
    }

    /// Returns the unspent tokens of the grant row, as last known.
    pub(crate) fn unspent(&self) -> Tokens {
        self.row.unspent
    }

    /// Returns the tokens of bills that are not known to be in the table.
    pub(crate) fn bills_total(&self) -> Tokens {
        self.bills_total
    }

    /// Tells whether requests have used the account lately.
    pub(crate) fn is_busy(&self, cx: &LedgerContext) -> bool {
        self.last_used.is_some_and(|used| cx.now.since(used) < BUSY_FOR)
    }

    /// Returns how many requests wait.
    pub(crate) fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Does whatever is due: answers requests, asks peers, calls the table.
    pub(crate) fn advance(&mut self, cx: &mut LedgerContext) {
        self.serve_waiting(cx);
        self.expire_bills(cx);
        self.hold_bills(cx);
        self.send_forgets(cx);
        self.serve_asked(cx);
        self.repeat_loans(cx);
        self.ask_for_loans(cx);
        self.raise_ceiling(cx);
        self.start_cycle(cx);
    }

    /// Tells whether nothing is left to settle or return.
    pub(crate) fn is_drained(&self) -> bool {
        self.revision.is_none()
            && self.call.is_none()
            && self.uncertain.is_empty()
            && self.reserved.is_empty()
            && self.bills.is_empty()
            && self.lent_total() == Tokens::ZERO
            && self.borrowed_total() == Tokens::ZERO
    }

    /// Returns what may still leave the row: reservations, pending bills, open loans.
    fn claims(&self) -> Tokens {
        self.reserved_total.saturating_add(self.bills_total).saturating_add(self.lent_total())
    }

    /// Returns what backs the claims.
    fn backing(&self) -> Tokens {
        self.row.unspent.saturating_sub(self.returning()).saturating_add(self.borrowed_total())
    }

    /// Returns the tokens that are neither claimed nor on their way back.
    fn free(&self) -> Tokens {
        self.backing().saturating_sub(self.claims())
    }

    /// Returns how much of the free tokens the ceiling allows to claim now.
    fn claimable(&self) -> Tokens {
        let used = self.row.spent.saturating_add(self.claims());
        self.free().min(self.ceiling_limit().saturating_sub(used))
    }

    /// Returns the sum of what waiting requests want.
    fn waiting_total(&self) -> Tokens {
        self.waiting.iter().map(|waiter| waiter.tokens).sum()
    }
}
