//! Reservations, and the requests that wait for them.

use std::time::Duration;

use errors::{Error, ErrorKind};
use types::{Timestamp, Tokens};

use super::Account;
use crate::{Answer, ReservationId, Ticket, ledger::LedgerContext};

/// Maximum time that a request waits for this router to be granted tokens that the budget has
/// available. Applies even if the policy of the account lets requests wait less or not at all for
/// tokens that other requests have reserved. Covers one read and one commit of the table.
const GRANT_WAIT_MAX: Duration = Duration::from_secs(1);

/// A request that waits for tokens.
#[derive(Debug)]
pub(super) struct Waiter {
    /// Identifies the request in the answer.
    pub(super) ticket: Ticket,
    /// Tokens to reserve.
    pub(super) tokens: Tokens,
    /// When the request arrived.
    pub(super) since: Timestamp,
    /// Deadline of the wait.
    until: Timestamp,
}

impl Account {
    /// Adds a request to the queue.
    pub(crate) fn reserve(
        &mut self,
        cx: &LedgerContext,
        ticket: Ticket,
        tokens: Tokens,
        until: Timestamp,
    ) {
        self.last_used = Some(cx.now);
        self.waiting.push_back(Waiter { ticket, tokens, since: cx.now, until });
    }

    /// Removes a request from the queue.
    pub(crate) fn cancel(&mut self, ticket: Ticket) {
        self.waiting.retain(|waiter| waiter.ticket != ticket);
    }

    /// Lowers a reservation to `tokens`; does nothing if that would raise it.
    pub(crate) fn shrink(&mut self, reservation: ReservationId, tokens: Tokens) {
        if let Some(reserved) = self.reservations.get_mut(&reservation)
            && tokens < *reserved
        {
            self.reserved_total =
                self.reserved_total.saturating_sub(reserved.saturating_sub(tokens));
            *reserved = tokens;
        }
    }

    /// Ends a reservation and returns its tokens; `None` if there is no such reservation.
    pub(crate) fn release(
        &mut self,
        cx: &LedgerContext,
        reservation: ReservationId,
    ) -> Option<Tokens> {
        let tokens = self.reservations.remove(&reservation)?;
        self.reserved_total = self.reserved_total.saturating_sub(tokens);
        self.last_used = Some(cx.now);
        Some(tokens)
    }

    /// Admits waiting requests in order, and refuses those that cannot be admitted in time.
    pub(super) fn serve_waiting(&mut self, cx: &mut LedgerContext) {
        loop {
            self.refuse_waiting(cx);
            let Some(first) = self.waiting.front() else { return };
            if first.tokens > self.spendable() {
                return;
            }
            let (ticket, tokens) = (first.ticket, first.tokens);
            self.waiting.pop_front();
            let reservation = cx.new_reservation();
            self.reservations.insert(reservation, tokens);
            self.reserved_total = self.reserved_total.saturating_add(tokens);
            cx.answer(ticket, Answer::Reserved(Ok(reservation)));
        }
    }

    /// Refuses the requests whose wait has ended or that can never be admitted.
    fn refuse_waiting(&mut self, cx: &mut LedgerContext) {
        let mut index = 0;
        while let Some(waiter) = self.waiting.get(index) {
            match self.refusal_reason(cx, waiter) {
                Some(error) => {
                    cx.answer(waiter.ticket, Answer::Reserved(Err(error)));
                    self.waiting.remove(index);
                }
                None => index += 1,
            }
        }
    }

    /// Returns the error to refuse a waiting request with, or `None` if it may keep waiting.
    fn refusal_reason(&self, cx: &LedgerContext, waiter: &Waiter) -> Option<Error> {
        if cx.is_draining {
            return Some(Error::new(ErrorKind::RouterLeaving, "the router is leaving"));
        }
        if waiter.tokens <= self.spendable() {
            return None;
        }
        let is_read = self.budget_read.is_some_and(|read| read >= waiter.since);
        if is_read && let Some(message) = &self.row_fault {
            return Some(Error::new(ErrorKind::StoreUnavailable, message.as_str()));
        }
        if (is_read || self.is_table_unavailable(cx)) && self.budget_read.is_some() {
            let left = self.unbilled();
            if left < waiter.tokens {
                let message = format!(
                    "the budget has {left} tokens left, the request needs {}",
                    waiter.tokens
                );
                return Some(Error::new(ErrorKind::BudgetExhausted, message));
            }
        }
        if cx.now < waiter.until || self.awaits_grant(cx, waiter, is_read) {
            return None;
        }
        Some(match self.budget_read {
            None => Error::new(
                ErrorKind::StoreUnavailable,
                "the budget could not be read before the deadline",
            ),
            Some(_) => Error::new(
                ErrorKind::BudgetShort,
                "the remaining budget is reserved by other requests or granted to other routers",
            ),
        })
    }

    /// Returns whether the request may still be served by a grant of tokens that the budget has
    /// available, without other requests releasing tokens.
    fn awaits_grant(&self, cx: &LedgerContext, waiter: &Waiter, is_read: bool) -> bool {
        let available = self.budget.unwrap_or_default().available();
        let may_be_granted =
            !is_read || available.saturating_add(self.spendable()) >= waiter.tokens;
        let is_recent = cx.now < waiter.since + GRANT_WAIT_MAX;
        is_recent && may_be_granted && !self.is_table_unavailable(cx)
    }

    /// Returns the tokens of the budget that are not billed, as last known. Releasing reservations
    /// cannot free more than these.
    fn unbilled(&self) -> Tokens {
        let budget = self.budget.unwrap_or_default();
        budget.deposited.saturating_sub(budget.settled).saturating_sub(self.bills_total)
    }
}
