//! Loans between routers.
//!
//! A loan is a running total for each pair of lender and borrower. The lender debits it before
//! sending it, and the borrower keeps the highest total received.

use std::time::Duration;

use platform::Revision;
use protocol::{BudgetBody, LoanCredited, LoanRequest, LoanTotal};
use types::{RouterId, Timestamp, Tokens};

use super::Account;
use crate::{GrantRow, ledger::LedgerContext};

/// Maximum time that a lender waits for a higher ceiling before it lends less than requested.
const CEILING_WAIT_MAX: Duration = Duration::from_millis(200);

/// Time for which the tokens borrowed in advance during a table outage last at the current spend
/// rate.
const OUTAGE_LOAN_COVER: Duration = Duration::from_secs(10);

/// Loans to one borrower.
#[derive(Debug, Default)]
pub(super) struct Lent {
    /// Total of all loans to the borrower, in tokens. Never decreases.
    pub(super) total: Tokens,
    /// Total that the borrower has acknowledged.
    acknowledged: Tokens,
    /// When the total was last sent.
    sent: Timestamp,
}

/// A loan requested by a peer.
#[derive(Debug)]
pub(super) struct PendingLoanRequest {
    /// Tokens that the peer needs.
    tokens: Tokens,
    /// Time that the first request in the peer's queue has waited.
    waited: Duration,
    /// When the peer asked.
    since: Timestamp,
}

/// A round of asking the peers for a loan, one after the other.
#[derive(Debug)]
pub(super) struct AskRound {
    /// Peers still to be asked; the next one is the last element.
    left: Vec<RouterId>,
    /// Peer that was asked last.
    asked_peer: RouterId,
    /// When that peer was asked.
    since: Timestamp,
}

impl Account {
    /// Returns the sum of the loans given that are not yet moved in the table.
    pub(super) fn lent_total(&self) -> Tokens {
        self.lent.keys().map(|borrower| self.lent_to(borrower)).sum()
    }

    /// Returns the loans to `borrower` that are not yet moved in the table.
    pub(super) fn lent_to(&self, borrower: &RouterId) -> Tokens {
        let total = self.lent.get(borrower).map_or(Tokens::ZERO, |lent| lent.total);
        total.saturating_sub(self.row.moved_to(borrower))
    }

    /// Returns the sum of the loans received that are not yet moved in the table.
    pub(super) fn borrowed_total(&self) -> Tokens {
        self.borrowed.keys().map(|lender| self.borrowed_from(lender)).sum()
    }

    /// Returns the loans from `lender` that are not yet moved in the table.
    pub(super) fn borrowed_from(&self, lender: &RouterId) -> Tokens {
        let total = self.borrowed.get(lender).copied().unwrap_or_default();
        total.saturating_sub(self.row.received_from(lender))
    }

    /// Writes off the loans of dead lenders whose grant row is missing or was emptied by an
    /// operator.
    pub(super) fn write_off_loans(
        &mut self,
        cx: &LedgerContext,
        lenders: &[RouterId],
        rows: &[(GrantRow, Revision)],
    ) {
        for lender in lenders.iter().filter(|lender| cx.peers.is_dead(lender)) {
            let row = rows.iter().map(|(row, _)| row).find(|row| row.router == *lender);
            let is_recoverable =
                row.is_some_and(|row| !row.is_closed() || row.unspent > Tokens::ZERO);
            if !is_recoverable {
                let received = self.row.received_from(lender);
                self.borrowed.insert(lender.clone(), received);
            }
        }
    }

    /// Returns the sum of the loans that peers have requested.
    pub(super) fn requested_loans_total(&self) -> Tokens {
        self.loan_requests.values().map(|request| request.tokens).sum()
    }

    /// Records that a peer asks for a loan. It replaces an earlier request of the same peer.
    pub(crate) fn on_ask(&mut self, cx: &LedgerContext, from: &RouterId, message: &LoanRequest) {
        let waited = Duration::from_millis(message.waited_ms);
        let request = PendingLoanRequest { tokens: Tokens(message.tokens), waited, since: cx.now };
        self.loan_requests.insert(from.clone(), request);
    }

    /// Lends what peers have requested, limited to the free tokens.
    pub(super) fn serve_loan_requests(&mut self, cx: &mut LedgerContext) {
        let borrowers: Vec<RouterId> = self.loan_requests.keys().cloned().collect();
        for borrower in borrowers {
            let Some(request) = self.loan_requests.get(&borrower) else { continue };
            let wanted = request.tokens.min(self.lendable(cx, &borrower, request));
            let spendable = wanted.min(self.spendable());
            if spendable < wanted && cx.now.since(request.since) < CEILING_WAIT_MAX {
                continue;
            }
            self.loan_requests.remove(&borrower);
            self.lend(cx, &borrower, spendable);
        }
    }

    /// Returns the tokens that may be lent to `borrower`: the free tokens that local requests are
    /// not waiting for, or all free tokens if the borrower's first request has waited longer than
    /// the local one.
    fn lendable(
        &self,
        cx: &LedgerContext,
        borrower: &RouterId,
        request: &PendingLoanRequest,
    ) -> Tokens {
        if cx.peers.find(borrower).is_none() {
            return Tokens::ZERO;
        }
        let Some(first) = self.waiting.front() else { return self.free() };
        let own = (cx.now.since(first.since).as_millis(), &cx.local.id.name);
        let is_older = (request.waited.as_millis(), &borrower.name) > own;
        if is_older { self.free() } else { self.free().saturating_sub(self.waiting_total()) }
    }

    fn lend(&mut self, cx: &mut LedgerContext, borrower: &RouterId, tokens: Tokens) {
        let lent = self.lent.entry(borrower.clone()).or_default();
        let Some(total) = lent.total.checked_add(tokens) else { return };
        lent.total = total;
        lent.sent = cx.now;
        let message = self.loan_message(borrower);
        cx.send(&borrower.name, message);
    }

    /// Sends loans again that were not acknowledged.
    pub(super) fn resend_loans(&mut self, cx: &mut LedgerContext) {
        let mut due = Vec::new();
        for (borrower, lent) in &mut self.lent {
            let is_due = lent.acknowledged < lent.total
                && cx.now.since(lent.sent) >= cx.settings.resend_after
                && cx.peers.find(borrower).is_some();
            if is_due {
                lent.sent = cx.now;
                due.push(borrower.clone());
            }
        }
        for borrower in due {
            let message = self.loan_message(&borrower);
            cx.send(&borrower.name, message);
        }
    }

    fn loan_message(&self, borrower: &RouterId) -> BudgetBody {
        BudgetBody::Loan(LoanTotal {
            account: self.name.to_string(),
            borrower_incarnation: borrower.incarnation.0,
            total: self.lent.get(borrower).map_or(0, |lent| lent.total.0),
        })
    }

    /// Credits a loan. A late or duplicate message credits nothing.
    pub(crate) fn on_loan(&mut self, cx: &mut LedgerContext, lender: &RouterId, total: Tokens) {
        let known = self.borrowed.entry(lender.clone()).or_default();
        *known = total.max(*known);
        let message = LoanCredited {
            account: self.name.to_string(),
            lender_incarnation: lender.incarnation.0,
            total: known.0,
        };
        cx.send(&lender.name, BudgetBody::Credited(message));
        if let Some(round) = &mut self.ask_round
            && round.asked_peer == *lender
        {
            self.ask_next_peer(cx);
        }
    }

    /// Records that a borrower has credited a loan.
    pub(crate) fn on_credited(&mut self, borrower: &RouterId, total: Tokens) {
        if let Some(lent) = self.lent.get_mut(borrower) {
            lent.acknowledged = lent.acknowledged.max(total).min(lent.total);
        }
    }

    /// Asks the peers, one after the other, for the tokens that the first waiting request lacks and
    /// that the budget row does not have available.
    pub(super) fn ask_for_loans(&mut self, cx: &mut LedgerContext) {
        if self.tokens_to_borrow(cx) == Tokens::ZERO {
            self.ask_round = None;
            return;
        }
        match &self.ask_round {
            Some(round) if cx.now.since(round.since) < cx.settings.resend_after * 2 => {}
            Some(_) => self.ask_next_peer(cx),
            None if cx.now >= self.next_ask_round_at => self.start_ask_round(cx),
            None => {}
        }
    }

    fn start_ask_round(&mut self, cx: &mut LedgerContext) {
        self.next_ask_round_at = cx.now + cx.settings.ask_gap;
        let candidates = cx.peers.candidates(&cx.local, &self.name);
        let left: Vec<RouterId> = candidates.iter().map(|peer| peer.id.clone()).collect();
        let asked_peer = cx.local.id.clone();
        self.ask_round = Some(AskRound { left, asked_peer, since: cx.now });
        self.ask_next_peer(cx);
    }

    fn ask_next_peer(&mut self, cx: &mut LedgerContext) {
        let tokens_to_borrow = self.tokens_to_borrow(cx);
        let Some(round) = &mut self.ask_round else { return };
        let Some(peer) = round.left.pop().filter(|_| tokens_to_borrow > Tokens::ZERO) else {
            self.ask_round = None;
            return;
        };
        round.asked_peer = peer.clone();
        round.since = cx.now;
        let waited = self.waiting.front().map_or(Duration::ZERO, |it| cx.now.since(it.since));
        let message = LoanRequest {
            account: self.name.to_string(),
            tokens: tokens_to_borrow.0,
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        };
        cx.send(&peer.name, BudgetBody::Ask(message));
    }

    /// Returns the tokens that the first waiting request lacks and that cannot come from the table.
    fn tokens_to_borrow(&self, cx: &LedgerContext) -> Tokens {
        let Some(first) = self.waiting.front() else { return Tokens::ZERO };
        let shortfall = first.tokens.saturating_sub(self.free());
        if shortfall == Tokens::ZERO {
            return Tokens::ZERO;
        }
        if self.is_table_unavailable(cx) {
            let outage_stock = self.rate.tokens_in(OUTAGE_LOAN_COVER, cx.now);
            return shortfall.saturating_add(outage_stock);
        }
        let is_read = self.budget_read.is_some_and(|read| read >= first.since);
        let available = self.budget.map_or(Tokens::ZERO, |budget| budget.available());
        if is_read && available < shortfall { shortfall } else { Tokens::ZERO }
    }
}
