//! Roles of operators.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use types::AccountName;

/// Role of an operator, which decides what the operator may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// May read everything except keys.
    Read,
    /// May read, and may change these client accounts.
    Accounts(BTreeSet<AccountName>),
    /// May do everything.
    Admin,
}
