//! The all-knowing ledger.

use types::Tokens;

use super::workload::ACCOUNTS;

/// What a single ledger would know at once of everything.
#[derive(Debug, Clone, Default)]
pub(super) struct Truth {
    /// Accounts.
    accounts: [Account; ACCOUNTS],
}

#[derive(Debug, Clone, Copy, Default)]
struct Account {
    deposited: u64,
    billed: u64,
    reserved: u64,
}

impl Truth {
    /// Counts a deposit.
    pub(super) fn deposit(&mut self, account: usize, tokens: u64) {
        self.accounts[account].deposited += tokens;
    }

    /// Counts a request that begins to run.
    pub(super) fn begin(&mut self, account: usize, worst: Tokens) {
        self.accounts[account].reserved += worst.0;
    }

    /// Counts a request that ends.
    pub(super) fn end(&mut self, account: usize, worst: Tokens, billed: Tokens) {
        self.accounts[account].reserved -= worst.0;
        self.accounts[account].billed += billed.0;
    }

    /// Tells whether a request could begin to run.
    pub(super) fn fits(&self, account: usize, worst: Tokens) -> bool {
        let it = self.accounts[account];
        it.billed + it.reserved + worst.0 <= it.deposited
    }

    /// Tells whether a request cannot begin to run whatever is released.
    pub(super) fn is_exhausted(&self, account: usize, worst: Tokens) -> bool {
        let it = self.accounts[account];
        it.billed + worst.0 > it.deposited
    }

    /// Returns the tokens billed.
    pub(super) fn billed(&self) -> u64 {
        self.accounts.iter().map(|it| it.billed).sum()
    }

    /// Returns the tokens billed beyond the deposits.
    pub(super) fn overspent(&self) -> u64 {
        self.accounts.iter().map(|it| it.billed.saturating_sub(it.deposited)).sum()
    }
}
