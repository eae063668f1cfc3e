//! Requests and loans: tokens that are reserved, spent, lent and borrowed.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

use super::{AllowanceBook, Reservation, Shortage};

/// Time for which a request is refused at once after one that asked for no more tokens was
/// refused for want of them.
const SHORTAGE_TIME: Duration = Duration::from_millis(250);

impl AllowanceBook {
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
            _ if allowance.is_short(tokens, now) => Err(Shortage::NoneInSight),
            _ => Err(Shortage::OutOfReach),
        }
    }

    /// Notes that a request was refused that neither the store nor other routers had enough
    /// tokens for. Returns whether the account has undrawn tokens, which may come in reach.
    pub fn note_refusal(&mut self, account: &str, tokens: u64, now: Timestamp) -> bool {
        let Some(allowance) = self.accounts.get_mut(account) else { return false };
        let row = self.rows.get(account).map(|(row, _)| row);
        let is_in_sight = row.is_none_or(|row| allowance.undrawn(row) >= tokens);
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

    /// Tells whether a request of `account` waits for tokens that are held but must not
    /// leave before the next declaration.
    pub fn needs_declaration(&self, account: &str, now: Timestamp) -> bool {
        self.accounts.get(account).is_some_and(|it| it.needs_declaration(now))
    }

    /// Tells whether more of `wanted` tokens can be lent after a declaration to the witness,
    /// which it then allows for.
    pub fn is_bound_below(&mut self, account: &str, wanted: u64, now: Timestamp) -> bool {
        let is_witnessed = self.declares_to_witness(now);
        let allowance = self.accounts.get_mut(account);
        is_witnessed && allowance.is_some_and(|it| it.want_to_lend(wanted, now))
    }

    /// Notes whether the store answers.
    pub fn note_store(&mut self, is_answering: bool) {
        self.is_store_lost = !is_answering;
    }

    /// Takes out tokens of `account` to lend them; returns how many. They count as drawn by
    /// the borrower from here on: if it never gets them, they count as spent.
    pub fn lend(&mut self, account: &str, wanted: u64, now: Timestamp) -> u64 {
        self.accounts.get_mut(account).map_or(0, |it| it.lend(wanted, now))
    }

    /// Takes in tokens that another router lent.
    pub fn borrow(&mut self, account: &str, tokens: u64) {
        if let Some(allowance) = self.accounts.get_mut(account) {
            allowance.borrow(tokens);
        }
    }
}
