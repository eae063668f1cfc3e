//! Roles of operators.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use types::AccountName;

/// What an operator may do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Role {
    /// Read everything but keys.
    Read,
    /// Read, and change these client accounts.
    Accounts(BTreeSet<AccountName>),
    /// Everything.
    Admin,
}
