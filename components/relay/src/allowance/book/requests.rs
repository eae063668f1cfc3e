//! Tokens that requests reserve and spend, and that routers lend and borrow.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{Reservation, RouterAllowances, Shortage};
use crate::allowance::{account::HolderStatement, holders::Role};

/// After a request was refused because no router had enough tokens, requests that are no smaller
/// are refused at once for this time.
const RECENT_REFUSAL_TIME: Duration = Duration::from_millis(250);

/// Age of the accounts' rows up to which a holder states by them what it has; longer than the time
/// between two reads.
const STATED_ROWS_MAX_AGE: Duration = Duration::from_millis(3_000);

/// What a lender does first when another router asks for a loan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoanStep {
    /// It lends the tokens that are available.
    Lend,
    /// It first declares a higher ceiling to its witnesses.
    Declare,
    /// It first makes a commit that draws tokens or declares a higher ceiling.
    Draw,
}

impl RouterAllowances {
    /// Reserves tokens of `account`.
    ///
    /// # Errors
    /// Returns the reason if the tokens are not available on this router.
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
            _ if allowance.was_recently_refused(tokens, now) => Err(Shortage::RecentlyRefused),
            _ => Err(Shortage::OutOfReach),
        }
    }

    /// Records that a request was refused because neither the store nor other routers had enough
    /// tokens. Returns whether tokens may become available soon.
    pub fn record_refusal(&mut self, account: &str, tokens: u64, now: Timestamp) -> bool {
        let Some(allowance) = self.accounts.get_mut(account) else { return false };
        allowance.record_shortage(tokens, now);
        let row = self.rows.get(account).map(|(row, _)| row);
        // A router that has just started does not know yet which routers could lend tokens.
        let may_become_available =
            self.role == Role::Undecided || row.is_none_or(|row| allowance.undrawn(row) >= tokens);
        if !may_become_available {
            allowance.record_refusal(tokens, now + RECENT_REFUSAL_TIME);
        }
        may_become_available
    }

    /// Returns whether a request can be refused for good: its tokens are neither undrawn nor held
    /// by any router that could lend them, and have not been for some time.
    pub fn is_unobtainable(&mut self, account: &str, tokens: u64, now: Timestamp) -> bool {
        let Some(own) = self.own_statement(account, now) else { return false };
        let holders = self.lenders(account);
        let allowance = self.accounts.get_mut(account);
        allowance.is_some_and(|it| it.is_unobtainable(tokens, (own, &holders), now))
    }

    /// Returns what this router has of an account; `None` if it may have more: the store is away,
    /// its rows were not read lately, drawn tokens are not usable yet, or tokens of the previous
    /// process may still be taken over.
    pub fn own_statement(&self, account: &str, now: Timestamp) -> Option<HolderStatement> {
        let is_drawing = self.eras.draws.holds_back(account);
        if self.role == Role::Undecided || self.is_recovering() || is_drawing {
            return None;
        }
        if !self.has_taken_over() {
            return None;
        }
        let is_read = self.read_at.is_some_and(|at| now.since(at) < STATED_ROWS_MAX_AGE);
        if self.role == Role::Holder && (self.is_store_unavailable || !is_read) {
            return None;
        }
        let mut statement = self.accounts.get(account)?.own_statement(&self.row(account));
        if self.role != Role::Holder {
            // Only holders read the accounts' rows regularly.
            statement.undrawn = 0;
        }
        Some(statement)
    }

    /// Records what a holder states about an account.
    pub fn record_statement(
        &mut self,
        account: &str,
        holder: Arc<str>,
        statement: HolderStatement,
        now: Timestamp,
    ) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.record_statement(holder, statement, now);
        }
    }

    /// Ends a reservation of which `used` tokens were spent.
    pub fn settle(&mut self, reservation: Reservation, used: u64) {
        if let Some(allowance) = self.accounts.get_mut(&reservation.account) {
            allowance.settle(reservation.tokens, used);
        }
    }

    /// Returns whether the store will not provide `tokens` of `account` soon, because it does not
    /// answer or too few tokens are undrawn.
    pub fn needs_loan(&self, account: &str, tokens: u64) -> bool {
        let known = self.rows.get(account).zip(self.accounts.get(account));
        let undrawn = known.map_or(0, |((row, _), it)| it.undrawn(row));
        self.is_store_unavailable || undrawn < tokens
    }

    /// Returns how many of `needed` tokens are not available on this router.
    pub fn missing(&self, account: &str, needed: u64, now: Timestamp) -> u64 {
        let available = self.accounts.get(account).map_or(0, |it| it.available(now));
        needed.saturating_sub(available)
    }

    /// Lets a borrower draw from the store what its lenders did not give.
    pub fn allow_direct_draw(&mut self, account: &str) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.allow_direct_draw();
        }
    }

    /// Returns whether a request of `account` waits for tokens that are held but may not be spent
    /// before the next declaration.
    pub fn needs_declaration(&self, account: &str, now: Timestamp) -> bool {
        self.accounts.get(account).is_some_and(|it| it.needs_witness_declaration(now))
    }

    /// Returns whether a declaration to the witnesses would allow more of `wanted` tokens to be
    /// lent; if so, the next one includes them in the ceiling.
    fn needs_declaration_to_lend(&mut self, account: &str, wanted: u64, now: Timestamp) -> bool {
        let is_witnessed = self.declares_to_witness(now);
        let allowance = self.accounts.get_mut(account);
        is_witnessed && allowance.is_some_and(|it| it.request_ceiling_for_loan(wanted, now))
    }

    /// Records whether the last call to the store succeeded.
    pub fn set_store_available(&mut self, is_available: bool) {
        self.is_store_unavailable = !is_available;
    }

    /// Returns what must happen before a loan of `wanted` tokens. `for_borrower` means that the
    /// requesting router has the role of a borrower and draws no tokens itself.
    pub fn prepare_loan(
        &mut self,
        account: &str,
        wanted: u64,
        for_borrower: bool,
        now: Timestamp,
    ) -> LoanStep {
        if self.needs_declaration_to_lend(account, wanted, now) {
            return LoanStep::Declare;
        }
        if !for_borrower || self.role_for(account) != Role::Holder || self.is_store_unavailable {
            return LoanStep::Lend;
        }
        let row = self.row(account);
        let allowance = self.accounts.get_mut(account);
        if allowance.is_some_and(|it| it.request_draw_for_loan(&row, wanted, now)) {
            LoanStep::Draw
        } else {
            LoanStep::Lend
        }
    }

    /// Takes out tokens of `account` to lend them; returns how many. From then on they count as
    /// drawn by the other router: if they never reach it, they count as spent. `for_borrower` means
    /// that it has the role of a borrower and draws no tokens itself.
    pub fn lend(&mut self, account: &str, wanted: u64, for_borrower: bool, now: Timestamp) -> u64 {
        self.accounts.get_mut(account).map_or(0, |it| it.lend(wanted, for_borrower, now))
    }

    /// Takes out the tokens that this router does not need, to give them back to a holder. Accounts
    /// of which this router is a holder are left out.
    pub fn take_surplus(&mut self, now: Timestamp) -> Vec<(Arc<str>, u64)> {
        let has_no_other_holder = self.holders.iter().all(|it| *it == self.router);
        if has_no_other_holder {
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

    /// Takes the spent tokens of an account that are not yet reported in its row, to report them
    /// through a holder.
    pub fn take_unreported(&mut self, account: &str) -> u64 {
        // A commit in progress may already report them.
        if self.role_for(account) != Role::Borrower || self.pending.is_some() {
            return 0;
        }
        self.accounts.get_mut(account).map_or(0, |it| it.take_unreported())
    }

    /// Adds spent tokens that a borrower reports.
    pub fn report_for_borrower(&mut self, account: &str, spent: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.report_for_borrower(spent);
        }
    }

    /// Returns the tokens of an account that all routers have spent, as far as this router knows.
    pub fn known_spent(&self, account: &str) -> u64 {
        let row = self.row(account);
        self.accounts.get(account).map_or(0, |it| it.known_spent(&row))
    }

    /// Returns the tokens of an account that no router has drawn, as far as this router knows.
    pub fn known_undrawn(&self, account: &str) -> u64 {
        let row = self.row(account);
        self.accounts.get(account).map_or(0, |it| it.undrawn(&row))
    }

    /// Updates the spent and undrawn tokens of an account from the totals that a holder reports.
    pub fn apply_holder_totals(&mut self, account: &str, spent: u64, undrawn: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.update_reported_spent(spent);
            allowance.update_is_low(undrawn);
        }
    }

    /// Adds tokens that another router has lent or given back.
    pub fn credit(&mut self, account: &str, tokens: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.credit(tokens);
        }
    }
}
