//! What a plan has to know beside the configuration.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{AccountName, DepositId, EndpointName, Tokens};

use crate::Deposit;

/// State of a budget.
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

/// What a plan has to know beside the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PlanFacts {
    /// Budgets of the accounts that the intent concerns.
    pub budgets: BTreeMap<AccountName, BudgetFacts>,
    /// Requests in progress on endpoints, as far as they are known.
    pub busy_endpoints: BTreeMap<EndpointName, u32>,
    /// Deposits of the intent whose ids were used before, as they were made.
    pub earlier_deposits: BTreeMap<DepositId, Deposit>,
}
