//! Loans between routers.
//!
//! A loan is a running total for each pair of donor and borrower. The donor debits it
//! before it sends it, and the borrower keeps the highest total that it has seen.

use std::time::Duration;

use platform::Revision;
use protocol::{BudgetBody, LoanCredited, LoanRequest, LoanTotal};
use types::{RouterId, Timestamp, Tokens};

use super::Account;
use crate::{GrantRow, ledger::LedgerContext};

/// Longest time that a donor waits for a higher ceiling before it lends less.
const ASK_PATIENCE: Duration = Duration::from_millis(200);

/// Time for which a borrower stocks up while the table is away.
const STOCK_COVER: Duration = Duration::from_secs(10);

/// Loans to one borrower.
#[derive(Debug, Default)]
pub(super) struct Lent {
    /// Tokens lent in all. Never shrinks.
    pub(super) total: Tokens,
    /// Total that the borrower has acknowledged.
    acknowledged: Tokens,
    /// When the total was last sent.
    sent: Timestamp,
}

/// A loan that a peer has asked for.
#[derive(Debug)]
pub(super) struct Asked {
    /// Tokens that the peer lacks.
    tokens: Tokens,
    /// Time that the first request in the peer's queue has waited.
    waited: Duration,
    /// When it asked.
    since: Timestamp,
}

/// A round of asking one peer after the other.
#[derive(Debug)]
pub(super) struct AskRound {
    /// Peers that are still to be asked, the next one last.
    left: Vec<RouterId>,
    /// Peer that was asked last.
    asked: RouterId,
    /// When it was asked.
    since: Timestamp,
}

impl Account {
    /// Returns the sum of the loans given that are not moved in the table.
    pub(super) fn lent_total(&self) -> Tokens {
        self.lent.keys().map(|borrower| self.lent_to(borrower)).sum()
    }

    /// Returns the loans to `borrower` that are not moved in the table.
    pub(super) fn lent_to(&self, borrower: &RouterId) -> Tokens {
        let total = self.lent.get(borrower).map_or(Tokens::ZERO, |lent| lent.total);
        total.saturating_sub(self.row.moved_to(borrower))
    }

    /// Returns the sum of the loans received that are not moved in the table.
    pub(super) fn borrowed_total(&self) -> Tokens {
        self.borrowed.keys().map(|donor| self.borrowed_from(donor)).sum()
    }

    /// Returns the loans from `donor` that are not moved in the table.
    pub(super) fn borrowed_from(&self, donor: &RouterId) -> Tokens {
        let total = self.borrowed.get(donor).copied().unwrap_or_default();
        total.saturating_sub(self.row.received_from(donor))
    }

    /// Writes off the loans of donors whose row is gone or was emptied by an operator.
    pub(super) fn write_off_loans(
        &mut self,
        cx: &LedgerContext,
        donors: &[RouterId],
        rows: &[(GrantRow, Revision)],
    ) {
        for donor in donors.iter().filter(|donor| cx.peers.is_dead(donor)) {
            let row = rows.iter().map(|(row, _)| row).find(|row| row.router == *donor);
            let can_follow = row.is_some_and(|row| !row.is_closed() || row.unspent > Tokens::ZERO);
            if !can_follow {
                let received = self.row.received_from(donor);
                self.borrowed.insert(donor.clone(), received);
            }
        }
    }

    /// Returns the sum of what peers have asked for.
    pub(super) fn asked_total(&self) -> Tokens {
        self.asked.values().map(|asked| asked.tokens).sum()
    }

    /// Takes note that a peer asks for a loan.
    pub(crate) fn on_ask(&mut self, cx: &LedgerContext, from: &RouterId, message: &LoanRequest) {
        let waited = Duration::from_millis(message.waited_ms);
        let asked = Asked { tokens: Tokens(message.tokens), waited, since: cx.now };
        self.asked.insert(from.clone(), asked);
    }

    /// Lends what peers have asked for, as far as it is free.
    pub(super) fn serve_asked(&mut self, cx: &mut LedgerContext) {
        let borrowers: Vec<RouterId> = self.asked.keys().cloned().collect();
        for borrower in borrowers {
            let Some(asked) = self.asked.get(&borrower) else { continue };
            let wanted = asked.tokens.min(self.lendable(cx, &borrower, asked));
            let claimable = wanted.min(self.claimable());
            if claimable < wanted && cx.now.since(asked.since) < ASK_PATIENCE {
                continue;
            }
            self.asked.remove(&borrower);
            self.lend(cx, &borrower, claimable);
        }
    }

    /// Returns what may be lent: what own requests do not wait for, unless those of the
    /// borrower have waited longer.
    fn lendable(&self, cx: &LedgerContext, borrower: &RouterId, asked: &Asked) -> Tokens {
        if cx.peers.find(borrower).is_none() {
            return Tokens::ZERO;
        }
        let Some(first) = self.waiting.front() else { return self.free() };
        let own = (cx.now.since(first.since).as_millis(), &cx.local.id.name);
        let is_older = (asked.waited.as_millis(), &borrower.name) > own;
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

    /// Sends the loans again that were not acknowledged.
    pub(super) fn repeat_loans(&mut self, cx: &mut LedgerContext) {
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

    /// Credits a loan. A late or doubled message credits nothing.
    pub(crate) fn on_loan(&mut self, cx: &mut LedgerContext, donor: &RouterId, total: Tokens) {
        let known = self.borrowed.entry(donor.clone()).or_default();
        *known = total.max(*known);
        let message = LoanCredited {
            account: self.name.to_string(),
            donor_incarnation: donor.incarnation.0,
            total: known.0,
        };
        cx.send(&donor.name, BudgetBody::Credited(message));
        if let Some(round) = &mut self.ask_round
            && round.asked == *donor
        {
            self.ask_next(cx);
        }
    }

    /// Takes note that a borrower has credited a loan.
    pub(crate) fn on_credited(&mut self, borrower: &RouterId, total: Tokens) {
        if let Some(lent) = self.lent.get_mut(borrower) {
            lent.acknowledged = lent.acknowledged.max(total).min(lent.total);
        }
    }

    /// Asks the peers, one after the other, for what the first waiting request lacks and
    /// the table does not have.
    pub(super) fn ask_for_loans(&mut self, cx: &mut LedgerContext) {
        if self.missing(cx) == Tokens::ZERO {
            self.ask_round = None;
            return;
        }
        match &self.ask_round {
            Some(round) if cx.now.since(round.since) < cx.settings.resend_after * 2 => {}
            Some(_) => self.ask_next(cx),
            None if cx.now >= self.next_round => self.start_round(cx),
            None => {}
        }
    }

    fn start_round(&mut self, cx: &mut LedgerContext) {
        self.next_round = cx.now + cx.settings.ask_gap;
        let candidates = cx.peers.candidates(&cx.local, &self.name);
        let left: Vec<RouterId> = candidates.iter().map(|peer| peer.id.clone()).collect();
        let asked = cx.local.id.clone();
        self.ask_round = Some(AskRound { left, asked, since: cx.now });
        self.ask_next(cx);
    }

    fn ask_next(&mut self, cx: &mut LedgerContext) {
        let missing = self.missing(cx);
        let Some(round) = &mut self.ask_round else { return };
        let Some(peer) = round.left.pop().filter(|_| missing > Tokens::ZERO) else {
            self.ask_round = None;
            return;
        };
        round.asked = peer.clone();
        round.since = cx.now;
        let waited = self.waiting.front().map_or(Duration::ZERO, |it| cx.now.since(it.since));
        let message = LoanRequest {
            account: self.name.to_string(),
            tokens: missing.0,
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
        };
        cx.send(&peer.name, BudgetBody::Ask(message));
    }

    /// Returns what the first waiting request lacks and the table cannot give.
    fn missing(&self, cx: &LedgerContext) -> Tokens {
        let Some(first) = self.waiting.front() else { return Tokens::ZERO };
        let lacking = first.tokens.saturating_sub(self.free());
        if lacking == Tokens::ZERO {
            return Tokens::ZERO;
        }
        if self.is_table_away(cx) {
            let stock = self.rate.tokens_in(STOCK_COVER, cx.now);
            return lacking.saturating_add(stock);
        }
        let is_read = self.budget_read.is_some_and(|read| read >= first.since);
        let available = self.budget.map_or(Tokens::ZERO, |budget| budget.available());
        if is_read && available < lacking { lacking } else { Tokens::ZERO }
    }
}
