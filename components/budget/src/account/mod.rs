//! State of one client account on one router.

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

/// Time after the last request during which an account counts as busy.
const BUSY_WINDOW: Duration = Duration::from_secs(5);

/// State of one client account on one router.
///
/// Invariant: `outstanding <= unspent - returning + borrowed`.
/// With a witness, also: `spent + outstanding <= ceiling`.
///
/// `unspent` and `spent` are those of the grant row, `borrowed` is the result of
/// [`borrowed_total`](Account::borrowed_total) and `ceiling` that of
/// [`ceiling_limit`](Account::ceiling_limit).
pub(crate) struct Account {
    name: AccountName,
    /// Last known content of this router's grant row; empty if there is no row.
    row: GrantRow,
    /// Revision of the grant row; `None` if there is no row.
    revision: Option<Revision>,
    /// Commits of the grant row whose outcome is unknown.
    unconfirmed: Vec<UnconfirmedCommit>,
    /// Last known content of the budget row.
    budget: Option<BudgetRow>,
    /// Time of the last read of the budget row.
    budget_read: Option<Timestamp>,
    /// Why the rows that were read last cannot be used; `None` if they can.
    row_fault: Option<String>,
    /// Highest ceiling acknowledged by the grant row or the witness.
    ceiling: Tokens,
    /// Epoch that the witness has acknowledged.
    acknowledged_epoch: Option<u64>,
    /// Epoch that the witness reported as closed.
    closed_epoch: Option<u64>,
    /// When the witness was last asked to raise the ceiling.
    ceiling_requested_at: Option<Timestamp>,
    /// Tokens of each reservation.
    reservations: HashMap<ReservationId, Tokens>,
    /// Sum of all reservations.
    reserved_total: Tokens,
    /// Bills that are not known to be in the table, by sequence number, oldest first.
    bills: BTreeMap<u64, PendingBill>,
    /// Sequence numbers of the pending bills that too few peers hold.
    under_replicated: BTreeSet<u64>,
    /// Sequence number of the pending bill of each request.
    seq_by_request: HashMap<RequestKey, u64>,
    /// Sum of the tokens of all pending bills.
    bills_total: Tokens,
    /// Sequence number of the next bill.
    next_bill_seq: u64,
    /// Committed bills that their holders no longer need to hold, by holder.
    pending_forgets: BTreeMap<RouterName, Vec<BilledRequest>>,
    /// Loans given to each borrower.
    lent: BTreeMap<RouterId, lending::Lent>,
    /// Total of the loans received from each lender. Never decreases.
    borrowed: BTreeMap<RouterId, Tokens>,
    /// Loans requested by peers and not answered yet, because the ceiling has to be raised first.
    loan_requests: BTreeMap<RouterId, lending::PendingLoanRequest>,
    /// Current round of asking peers for loans.
    ask_round: Option<AskRound>,
    /// Earliest time of the next round of asking for loans.
    next_ask_round_at: Timestamp,
    /// Requests that wait for tokens, in order of arrival.
    waiting: VecDeque<Waiter>,
    rate: SpendRate,
    /// When the last request arrived or ended; `None` if there was none.
    last_used: Option<Timestamp>,
    /// Ceilings that this router keeps as a witness, by owner of the grant row.
    witnessed_ceilings: BTreeMap<RouterId, WitnessedCeiling>,
    /// Bills held for other routers, by router that ran the requests.
    held_bills: BTreeMap<RouterId, BTreeMap<RequestKey, HeldBill>>,
    /// Other router whose grant row this router read last, as its witness, holder or lender.
    last_foreign_owner: Option<RouterId>,
    /// Call to the table in flight.
    call: Option<Call>,
    /// Earliest time of the next table call for urgent work.
    next_urgent_at: Timestamp,
    /// Earliest time of the next table call for all other work.
    next_idle_at: Timestamp,
    /// When calls to the table began to fail; `None` while the table answers.
    failing_since: Option<Timestamp>,
    /// Whether the rows have to be read again, because the outcome of a commit is unknown or the
    /// witness has closed the epoch.
    must_read_back: bool,
}

impl Account {
    /// Creates the state of an account before its rows are read for the first time.
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

    /// Returns the sum of all reservations.
    pub(crate) fn reserved_total(&self) -> Tokens {
        self.reserved_total
    }

    /// Returns the unspent tokens of the grant row, as last known.
    pub(crate) fn unspent(&self) -> Tokens {
        self.row.unspent
    }

    /// Returns the tokens of the bills that are not known to be in the table.
    pub(crate) fn bills_total(&self) -> Tokens {
        self.bills_total
    }

    /// Returns whether a request has used the account within [`BUSY_WINDOW`].
    pub(crate) fn is_busy(&self, cx: &LedgerContext) -> bool {
        self.last_used.is_some_and(|used| cx.now.since(used) < BUSY_WINDOW)
    }

    /// Returns the number of requests that wait for tokens.
    pub(crate) fn waiting_len(&self) -> usize {
        self.waiting.len()
    }

    /// Does all work that is due: answers requests, exchanges messages with peers, calls the table.
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

    /// Returns whether nothing is left to settle or to return to the budget.
    pub(crate) fn is_drained(&self) -> bool {
        self.revision.is_none()
            && self.call.is_none()
            && self.unconfirmed.is_empty()
            && self.reservations.is_empty()
            && self.bills.is_empty()
            && self.lent_total() == Tokens::ZERO
            && self.borrowed_total() == Tokens::ZERO
    }

    /// Returns the tokens that may still leave the grant row: reservations, pending bills and loans
    /// not yet moved in the table.
    fn outstanding(&self) -> Tokens {
        self.reserved_total.saturating_add(self.bills_total).saturating_add(self.lent_total())
    }

    /// Returns the tokens that cover the outstanding ones: unspent tokens that are not being
    /// returned, and borrowed tokens.
    fn backing(&self) -> Tokens {
        self.row.unspent.saturating_sub(self.returning()).saturating_add(self.borrowed_total())
    }

    /// Returns the tokens that are neither outstanding nor being returned to the budget.
    fn free(&self) -> Tokens {
        self.backing().saturating_sub(self.outstanding())
    }

    /// Returns how many of the free tokens can be used now without exceeding the ceiling.
    fn spendable(&self) -> Tokens {
        let used = self.row.spent.saturating_add(self.outstanding());
        self.free().min(self.ceiling_limit().saturating_sub(used))
    }

    /// Returns the tokens that all waiting requests need.
    fn waiting_total(&self) -> Tokens {
        self.waiting.iter().map(|waiter| waiter.tokens).sum()
    }
}
