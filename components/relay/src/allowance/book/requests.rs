//! Requests and loans: tokens that are reserved, spent, lent and borrowed.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{Reservation, RouterAllowances, Shortage};
use crate::allowance::holders::Role;

/// Time for which a request is refused at once after one that asked for no more tokens was
/// refused for want of them.
const SHORTAGE_TIME: Duration = Duration::from_millis(250);

/// What a lender does with a request for a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanStep {
    /// It lends what it has.
    Lend,
    /// It declares to its witnesses first that more may leave.
    Declare,
    /// It draws tokens from the store first.
    Draw,
}

impl RouterAllowances {
    /// Reserves tokens of `account`.
    ///
    /// # Errors
    /// Where they are not available on this router.
    pub fn reserve(
        &mut self,
        account: &Arc<str>,
        tokens: u64,
        now: Timestamp,
    ) -> Result<Reservation, Shortage> {
        let row = self.rows.get(account).map(|(row, _)| row);
        let allowance = self.accounts.entry(account.clone()).or_default();
        if allowance.reserve(tokens, now) {
            return Ok(Reservation { account: account.clone(), tokens });
        }
        match row {
            Some(row) if allowance.is_exhausted(row, tokens) => Err(Shortage::Exhausted),
            _ if allowance.is_short(tokens, now) => Err(Shortage::RecentlyRefused),
            _ => Err(Shortage::OutOfReach),
        }
    }

    /// Notes that a request was refused that neither the store nor other routers had enough
    /// tokens for. Returns whether the account may have tokens that come in reach.
    pub fn record_refusal(&mut self, account: &str, tokens: u64, now: Timestamp) -> bool {
        let Some(allowance) = self.accounts.get_mut(account) else { return false };
        let row = self.rows.get(account).map(|(row, _)| row);
        // A router that has just started does not know yet who could lend them.
        let is_in_sight =
            self.role == Role::Undecided || row.is_none_or(|row| allowance.undrawn(row) >= tokens);
        if !is_in_sight {
            allowance.note_shortage(tokens, now + SHORTAGE_TIME);
        }
        is_in_sight
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub fn settle(&mut self, reservation: Reservation, used: u64) {
        if let Some(allowance) = self.accounts.get_mut(&reservation.account) {
            allowance.settle(reservation.tokens, used);
        }
    }

    /// Tells whether the store will not give `tokens` of `account` soon: it does not answer,
    /// or the account has too few undrawn ones.
    pub fn needs_loan(&self, account: &str, tokens: u64) -> bool {
        let known = self.rows.get(account).zip(self.accounts.get(account));
        let undrawn = known.map_or(0, |((row, _), it)| it.undrawn(row));
        self.is_store_lost || undrawn < tokens
    }

    /// Returns how many of `needed` tokens are missing here.
    pub fn missing(&self, account: &str, needed: u64, now: Timestamp) -> u64 {
        let available = self.accounts.get(account).map_or(0, |it| it.available(now));
        needed.saturating_sub(available)
    }

    /// Lets a borrower draw from the store what its lenders do not give.
    pub fn allow_direct_draw(&mut self, account: &str) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.allow_direct_draw();
        }
    }

    /// Tells whether a request of `account` waits for tokens that are held but must not
    /// leave before the next declaration.
    pub fn needs_declaration(&self, account: &str, now: Timestamp) -> bool {
        self.accounts.get(account).is_some_and(|it| it.needs_declaration(now))
    }

    /// Tells whether more of `wanted` tokens can be lent after a declaration to the witness,
    /// which it then allows for.
    fn is_bound_below(&mut self, account: &str, wanted: u64, now: Timestamp) -> bool {
        let is_witnessed = self.declares_to_witness(now);
        let allowance = self.accounts.get_mut(account);
        is_witnessed && allowance.is_some_and(|it| it.want_to_lend(wanted, now))
    }

    /// Notes whether the store answers.
    pub fn set_store_available(&mut self, is_answering: bool) {
        self.is_store_lost = !is_answering;
    }

    /// Decides what comes before a loan of `wanted` tokens. `for_use` says that the borrower
    /// draws none itself.
    pub fn prepare_loan(
        &mut self,
        account: &str,
        wanted: u64,
        for_use: bool,
        now: Timestamp,
    ) -> LoanStep {
        if self.is_bound_below(account, wanted, now) {
            return LoanStep::Declare;
        }
        if !for_use || self.role_for(account) != Role::Holder || self.is_store_lost {
            return LoanStep::Lend;
        }
        let row = self.row(account);
        let allowance = self.accounts.get_mut(account);
        if allowance.is_some_and(|it| it.want_to_draw(&row, wanted, now)) {
            LoanStep::Draw
        } else {
            LoanStep::Lend
        }
    }

    /// Takes out tokens of `account` to lend them; returns how many. They count as drawn by
    /// the borrower from here on: if it never gets them, they count as spent. `for_use` says
    /// that the borrower draws none itself.
    pub fn lend(&mut self, account: &str, wanted: u64, for_use: bool, now: Timestamp) -> u64 {
        self.accounts.get_mut(account).map_or(0, |it| it.lend(wanted, for_use, now))
    }

    /// Takes out of each account what this router has no use for, to give it back to a
    /// holder; nothing where it is one itself.
    pub fn take_surplus(&mut self, now: Timestamp) -> Vec<(Arc<str>, u64)> {
        let is_alone = self.holders.iter().all(|it| *it == self.router);
        if is_alone {
            return Vec::new();
        }
        let names: Vec<Arc<str>> = self.accounts.keys().cloned().collect();
        let borrowed = names.into_iter().filter(|it| self.role_for(it) == Role::Borrower);
        let borrowed: Vec<Arc<str>> = borrowed.collect();
        let surplus = borrowed.into_iter().filter_map(|name| {
            let tokens = self.accounts.get_mut(&name)?.take_surplus(now);
            (tokens > 0).then_some((name, tokens))
        });
        surplus.collect()
    }

    /// Takes the spent tokens of an account that no row has, to report them through a holder.
    pub fn take_unreported(&mut self, account: &str) -> u64 {
        // A commit in progress may report them.
        if self.role_for(account) != Role::Borrower || self.pending.is_some() {
            return 0;
        }
        self.accounts.get_mut(account).map_or(0, |it| it.take_unreported())
    }

    /// Takes over spent tokens that a borrower reports.
    pub fn report_for_borrower(&mut self, account: &str, spent: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.report_for_borrower(spent);
        }
    }

    /// Returns the tokens of an account that all routers have spent, as far as is known here.
    pub fn known_spent(&self, account: &str) -> u64 {
        let row = self.row(account);
        self.accounts.get(account).map_or(0, |it| it.known_spent(&row))
    }

    /// Returns the tokens of an account that no router has drawn, as far as is known here.
    pub fn known_undrawn(&self, account: &str) -> u64 {
        let row = self.row(account);
        self.accounts.get(account).map_or(0, |it| it.undrawn(&row))
    }

    /// Notes the spent and the undrawn tokens of an account that a holder knows of.
    pub fn apply_holder_totals(&mut self, account: &str, spent: u64, undrawn: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.hear_spent(spent);
            allowance.note_undrawn(undrawn);
        }
    }

    /// Takes in tokens that another router lent.
    pub fn borrow(&mut self, account: &str, tokens: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.borrow(tokens);
        }
    }
}
