//! The budget row of a client account.

use platform::Key;
use serde::{Deserialize, Serialize};
use types::{AccountName, Tokens};

/// The budget row of a client account.
///
/// Invariant in the table at every moment: `settled + granted <= deposited`, where
/// `granted` is the sum of the account's open grants.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRow {
    /// Tokens paid for so far. Never shrinks.
    pub deposited: Tokens,
    /// Tokens billed so far. Never shrinks.
    pub settled: Tokens,
    /// Tokens in open grants.
    pub granted: Tokens,
}

impl BudgetRow {
    /// Returns the tokens that are neither billed nor granted.
    pub fn available(&self) -> Tokens {
        self.deposited.saturating_sub(self.settled.saturating_add(self.granted))
    }
}

/// Returns the key of the budget row of `account`.
pub fn budget_key(account: &AccountName) -> Key {
    Key::from_parts(&["budget", account.as_str()])
}
