//! State outside the configuration that planning needs.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{AccountName, DepositId, EndpointName, Tokens};

use crate::Deposit;

/// State of the budget of one client account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetFacts {
    /// Tokens deposited so far.
    pub deposited: Tokens,
    /// Tokens billed so far.
    pub settled: Tokens,
    /// Tokens in open grants.
    pub granted: Tokens,
}

/// State outside the configuration that planning needs.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanFacts {
    /// Budgets of the accounts that the intent affects.
    pub budgets: BTreeMap<AccountName, BudgetFacts>,
    /// Number of requests in progress on each endpoint, if known.
    pub busy_endpoints: BTreeMap<EndpointName, u32>,
    /// Earlier deposits whose ids the intent uses again.
    pub earlier_deposits: BTreeMap<DepositId, Deposit>,
}
