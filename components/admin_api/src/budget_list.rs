//! Budgets of client accounts.

use serde::{Deserialize, Serialize};
use types::{AccountName, Tokens};

/// Answer to `GET /admin/v1/budgets`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetList {
    /// Budgets of this page, ordered by account name.
    pub budgets: Vec<BudgetView>,
    /// Value of the `after` parameter for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Budget of a client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetView {
    /// Client account.
    pub account: AccountName,
    /// Total of tokens deposited.
    pub deposited: Tokens,
    /// Total of tokens billed.
    pub settled: Tokens,
    /// Tokens granted to routers and not yet billed.
    pub granted: Tokens,
    /// Tokens neither billed nor granted.
    pub available: Tokens,
}
