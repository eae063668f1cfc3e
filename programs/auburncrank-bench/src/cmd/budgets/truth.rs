//! Ground truth of the accounts, as a single all-knowing ledger would record it.

use types::Tokens;

use super::workload::ACCOUNTS;

/// Deposits, bills and reservations of all accounts, known immediately and without faults.
#[derive(Debug, Clone, Default)]
pub(super) struct GroundTruth {
    /// Balances by account.
    accounts: [Account; ACCOUNTS],
}

#[derive(Debug, Clone, Copy, Default)]
struct Account {
    deposited: u64,
    billed: u64,
    reserved: u64,
}

impl GroundTruth {
    /// Adds a deposit.
    pub(super) fn deposit(&mut self, account: usize, tokens: u64) {
        self.accounts[account].deposited += tokens;
    }

    /// Reserves the tokens of a request that starts to run.
    pub(super) fn reserve(&mut self, account: usize, max_tokens: Tokens) {
        self.accounts[account].reserved += max_tokens.0;
    }

    /// Releases the reservation of a request that has ended and bills its tokens.
    pub(super) fn settle(&mut self, account: usize, max_tokens: Tokens, billed: Tokens) {
        self.accounts[account].reserved -= max_tokens.0;
        self.accounts[account].billed += billed.0;
    }

    /// Reports whether the unreserved tokens suffice for a request.
    pub(super) fn can_admit(&self, account: usize, max_tokens: Tokens) -> bool {
        let it = self.accounts[account];
        it.billed + it.reserved + max_tokens.0 <= it.deposited
    }

    /// Reports whether a request could not run even if all reservations were released unused.
    pub(super) fn is_exhausted(&self, account: usize, max_tokens: Tokens) -> bool {
        let it = self.accounts[account];
        it.billed + max_tokens.0 > it.deposited
    }

    /// Returns the tokens billed to all accounts.
    pub(super) fn billed(&self) -> u64 {
        self.accounts.iter().map(|it| it.billed).sum()
    }

    /// Returns the tokens billed beyond the deposits, summed over the accounts.
    pub(super) fn overspent(&self) -> u64 {
        self.accounts.iter().map(|it| it.billed.saturating_sub(it.deposited)).sum()
    }
}
