//! Budgets.

use serde::{Deserialize, Serialize};
use types::{AccountName, Tokens};

/// Answer to `GET /admin/v1/budgets`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetList {
    /// Budgets of this page, in the order of the accounts' names.
    pub budgets: Vec<BudgetView>,
    /// What to pass as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// One budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BudgetView {
    /// Client account.
    pub account: AccountName,
    /// Tokens deposited so far.
    pub deposited: Tokens,
    /// Tokens billed so far.
    pub settled: Tokens,
    /// Tokens granted to routers and not billed yet.
    pub granted: Tokens,
    /// Tokens neither billed nor granted.
    pub available: Tokens,
}
