//! The row of an account's tokens.

use std::{collections::BTreeMap, sync::Arc};

use platform::Key;
use serde::{Deserialize, Serialize};

/// Start of the keys of all rows.
pub const KEY_PREFIX: &str = "allowance";

/// Identifies one commit of one router, so that a later read tells whether it took effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Process of the router; drawn at its start.
    pub process: u64,
    /// Number of the commit, counted within the process.
    pub number: u64,
}

/// The row of an account's tokens.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRow {
    /// Tokens drawn by all routers and not returned. Never above the prepaid tokens, but
    /// where an operator has lowered those.
    pub drawn: u64,
    /// Tokens that routers have reported as spent; at most `drawn`.
    pub spent: u64,
    /// Version of the desired state whose prepaid tokens the last writer knew. A router
    /// that knows an older one draws nothing.
    pub limit_version: u64,
    /// Last commit of each router.
    pub marks: BTreeMap<Arc<str>, Mark>,
}

impl AllowanceRow {
    /// Returns the key of the row of `account`.
    pub fn key(account: &str) -> Key {
        Key::from_parts(&[KEY_PREFIX, account])
    }
}
