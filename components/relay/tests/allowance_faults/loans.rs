//! Loans between routers; they may be lost in transit.

use rand::Rng as _;
use relay::allowance::{LoanStep, Role};

use crate::{ACCOUNT, ROUTERS, world::World};

impl World {
    /// Borrows tokens; the loan may be lost in transit.
    pub(crate) fn request_loan(&mut self, index: usize, tokens: u64) {
        let lender = self.choose_lender(index);
        let now = self.now_of(lender);
        if lender == index || self.routers[lender].down_until.is_some() {
            return;
        }
        let for_borrower = self.routers[index].allowances.role_for(ACCOUNT) == Role::Borrower;
        let spent = self.routers[index].allowances.take_unreported(ACCOUNT);
        let allowances = &mut self.routers[lender].allowances;
        allowances.report_for_borrower(ACCOUNT, spent);
        if allowances.prepare_loan(ACCOUNT, tokens, for_borrower, now) == LoanStep::Lend {
            let tokens = allowances.lend(ACCOUNT, tokens, for_borrower, now);
            let (spent, undrawn) =
                (allowances.known_spent(ACCOUNT), allowances.known_undrawn(ACCOUNT));
            self.routers[index].allowances.apply_holder_totals(ACCOUNT, spent, undrawn);
            self.transfer_tokens(lender, index, tokens);
        }
    }

    /// Returns the lender that a router asks: mostly the first in its order, sometimes any router.
    fn choose_lender(&mut self, index: usize) -> usize {
        let lenders = self.routers[index].allowances.lenders(ACCOUNT);
        let first = lenders.first().filter(|_| self.rng.random_bool(0.8));
        let number = first.and_then(|it| it.trim_start_matches("router-").parse().ok());
        number.unwrap_or_else(|| self.rng.random_range(0..ROUTERS))
    }

    /// Gives back tokens that a borrower does not need; they may be lost in transit.
    pub(crate) fn return_surplus(&mut self, index: usize) {
        let now = self.now_of(index);
        for (_, tokens) in self.routers[index].allowances.take_surplus(now) {
            let lender = self.choose_lender(index);
            self.transfer_tokens(index, lender, tokens);
        }
    }

    /// Adds tokens that were taken out of one router to another one, if that is running.
    fn transfer_tokens(&mut self, from: usize, to: usize, tokens: u64) {
        let process = self.routers[from].process;
        *self.store.unspent.entry(process).or_default() -= tokens.cast_signed();
        let is_up = self.routers[to].down_until.is_none();
        if is_up && !self.rng.random_bool(self.faults.lost_loan) {
            self.routers[to].allowances.credit(ACCOUNT, tokens);
            let process = self.routers[to].process;
            *self.store.unspent.entry(process).or_default() += tokens.cast_signed();
        }
    }
}
