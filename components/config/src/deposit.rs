//! Deposits to budgets.

use serde::{Deserialize, Serialize};
use types::{AccountName, DepositId, Tokens};

/// A deposit to the budget of a client account. Idempotent by its id: a repeated deposit is
/// not made again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deposit {
    /// Id, such as an invoice number.
    pub id: DepositId,
    /// Client account whose budget receives the tokens.
    pub account: AccountName,
    /// Amount, in tokens. Not zero.
    pub tokens: Tokens,
}
