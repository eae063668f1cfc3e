//! Deposits to budgets.

use serde::{Deserialize, Serialize};
use types::{AccountName, DepositId, Tokens};

/// A deposit to the budget of a client account. Made once for its id, however often the
/// operator's tool repeats it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deposit {
    /// Id, such as the number of the invoice.
    pub id: DepositId,
    /// Client account.
    pub account: AccountName,
    /// Amount. Not zero.
    pub tokens: Tokens,
}
