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

pub(crate) use self::bills::bills_held_message;
use self::{
    bills::PendingBill, ceiling::WitnessedCeiling, cycle::Call, lending::AskRound,
    own_row::UnconfirmedCommit, reservations::Waiter,
};
use crate::{
    BudgetRow, GrantRow, HeldBill, ReservationId, ledger::LedgerContext, spend_rate::SpendRate,
};

/// Time since the last request for which an account counts as busy.
const BUSY_WINDOW: Duration = Duration::from_secs(5);

/// One router's side of one account.
///
/// Invariant: `outstanding <= unspent - returning + borrowed`, and with a witness
/// `spent + outstanding <= ceiling`, where the amounts are those of the functions below.
pub(crate) struct Account {
    /// Name.
    name: AccountName,
    /// Grant row as last known; empty where there is none.
    row: GrantRow,
    /// Revision of the grant row; `None` where there is none.
    revision: Option<Revision>,
    /// Commits that may have changed the grant row without our knowing.
    unconfirmed: Vec<UnconfirmedCommit>,
    /// Budget row as last known.
    budget: Option<BudgetRow>,
    /// When the budget row was last read.
    budget_read: Option<Timestamp>,
    /// Why the rows cannot be used, where they cannot.
    row_fault: Option<String>,
    /// Highest ceiling that the row or its witness has acknowledged.
    ceiling: Tokens,
    /// Epoch of which the witness has heard.
    acknowledged_epoch: Option<u64>,
    /// Epoch that the witness has said to be closed.
    closed_epoch: Option<u64>,
    /// When the witness was last asked for a higher ceiling.
    ceiling_requested_at: Option<Timestamp>,
    /// Reservations.
    reservations: HashMap<ReservationId, Tokens>,
    /// Sum of the reservations.
    reserved_total: Tokens,
    /// Bills that are not known to be in the table, oldest first.
    bills: BTreeMap<u64, PendingBill>,
    /// Places of the pending bills that too few peers hold.
    under_replicated: BTreeSet<u64>,
    /// Places of the pending bills.
    seq_by_request: HashMap<RequestKey, u64>,
    /// Sum of the pending bills.
    bills_total: Tokens,
    /// Place of the next bill.
    next_bill_seq: u64,
    /// Bills that their holders may forget, by holder.
    pending_forgets: BTreeMap<RouterName, Vec<BilledRequest>>,
    /// Loans given to each borrower.
    lent: BTreeMap<RouterId, lending::Lent>,
    /// Loans received from each lender, in all. Never shrink.
    borrowed: BTreeMap<RouterId, Tokens>,
    /// Loans that peers have asked for and that wait for a higher ceiling.
    loan_requests: BTreeMap<RouterId, lending::LoanRequest>,
    /// The present round of asking peers for loans.
    ask_round: Option<AskRound>,
    /// When the next round of asking may start.
    next_ask_round_at: Timestamp,
    /// Requests that wait, first come first served.
    waiting: VecDeque<Waiter>,
    /// Spend rate.
    rate: SpendRate,
    /// When the last request came or ended, if any did.
    last_used: Option<Timestamp>,
    /// Ceilings witnessed for other routers.
    witnessed_ceilings: BTreeMap<RouterId, WitnessedCeiling>,
    /// Bills held for other routers.
    held_bills: BTreeMap<RouterId, BTreeMap<RequestKey, HeldBill>>,
    /// Router whose row was looked at last, as witness, holder or lender.
    last_foreign_owner: Option<RouterId>,
    /// Open call to the table.
    call: Option<Call>,
    /// When the next call for an urgent purpose may start.
    next_urgent_at: Timestamp,
    /// When the next call for any other purpose may start.
    next_idle_at: Timestamp,
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
            unconfirmed: Vec::new(),
            budget: None,
            budget_read: None,
            row_fault: None,
            ceiling: Tokens::ZERO,
            acknowledged_epoch: None,
            closed_epoch: None,
            ceiling_requested_at: None,
            reservations: HashMap::default(),
            reserved_total: Tokens::ZERO,
            bills: BTreeMap::new(),
            under_replicated: BTreeSet::new(),
            seq_by_request: HashMap::default(),
            bills_total: Tokens::ZERO,
            next_bill_seq: 0,
            pending_forgets: BTreeMap::new(),
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            loan_requests: BTreeMap::new(),
            ask_round: None,
            next_ask_round_at: Timestamp::ZERO,
            waiting: VecDeque::new(),
            rate: SpendRate::default(),
            last_used: None,
            witnessed_ceilings: BTreeMap::new(),
            held_bills: BTreeMap::new(),
            last_foreign_owner: None,
            call: None,
            next_urgent_at: Timestamp::ZERO,
            next_idle_at: Timestamp::ZERO,
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
        self.last_used.is_some_and(|used| cx.now.since(used) < BUSY_WINDOW)
    }

    /// Returns how many requests wait.
    pub(crate) fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Does whatever is due: answers requests, asks peers, calls the table.
    pub(crate) fn advance(&mut self, cx: &mut LedgerContext) {
        self.serve_waiting(cx);
        self.expire_settle_waiters(cx);
        self.replicate_bills(cx);
        self.send_forgets(cx);
        self.serve_loan_requests(cx);
        self.resend_loans(cx);
        self.ask_for_loans(cx);
        self.raise_ceiling(cx);
        self.start_cycle(cx);
    }

    /// Tells whether nothing is left to settle or return.
    pub(crate) fn is_drained(&self) -> bool {
        self.revision.is_none()
            && self.call.is_none()
            && self.unconfirmed.is_empty()
            && self.reservations.is_empty()
            && self.bills.is_empty()
            && self.lent_total() == Tokens::ZERO
            && self.borrowed_total() == Tokens::ZERO
    }

    /// Returns what may still leave the row: reservations, pending bills, open loans.
    fn outstanding(&self) -> Tokens {
        self.reserved_total.saturating_add(self.bills_total).saturating_add(self.lent_total())
    }

    /// Returns what backs the outstanding.
    fn backing(&self) -> Tokens {
        self.row.unspent.saturating_sub(self.returning()).saturating_add(self.borrowed_total())
    }

    /// Returns the tokens that are neither claimed nor on their way back.
    fn free(&self) -> Tokens {
        self.backing().saturating_sub(self.outstanding())
    }

    /// Returns how much of the free tokens the ceiling allows to claim now.
    fn spendable(&self) -> Tokens {
        let used = self.row.spent.saturating_add(self.outstanding());
        self.free().min(self.ceiling_limit().saturating_sub(used))
    }

    /// Returns the sum of what waiting requests want.
    fn waiting_total(&self) -> Tokens {
        self.waiting.iter().map(|waiter| waiter.tokens).sum()
    }
}
