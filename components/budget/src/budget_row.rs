//! Budget rows of the table.

use platform::Key;
use serde::{Deserialize, Serialize};
use types::{AccountName, Tokens};

/// Prepaid budget of one client account.
///
/// Invariant: `settled + granted <= deposited` at all times, where `granted` is the sum of the
/// unspent tokens in the grants of the account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRow {
    /// Total of the tokens paid for. Never decreases.
    pub deposited: Tokens,
    /// Total of the tokens billed. Never decreases.
    pub settled: Tokens,
    /// Unspent tokens in the grants of all routers.
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
