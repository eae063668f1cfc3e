//! Rows of accounts and of routers.

use std::{collections::BTreeMap, sync::Arc};

use platform::Key;
use serde::{Deserialize, Serialize};

use super::witness::RouterProcess;

/// Start of the keys of accounts' rows.
pub const ACCOUNT_PREFIX: &str = "allowance";

/// Start of the keys of routers' rows.
pub const HOLDINGS_PREFIX: &str = "holdings";

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
}

impl AllowanceRow {
    /// Returns the key of the row of `account`.
    pub fn key(account: &str) -> Key {
        Key::from_parts(&[ACCOUNT_PREFIX, account])
    }
}

/// Identifies one commit of one router, so that a later read tells whether it took effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mark {
    /// Process of the router; drawn at its start.
    pub process: u64,
    /// Number of the commit, counted within the process.
    pub number: u64,
}

/// Tokens of one account on one router, as declared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Tokens that it holds.
    pub held: u64,
    /// Tokens of these that may be spent or lent before the next declaration; at most
    /// `held`.
    pub ceiling: u64,
}

/// The row of a router: what it holds. Only that router's processes write it, one after the
/// other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsRow {
    /// The commit that wrote it.
    pub mark: Mark,
    /// Time of the store, in milliseconds, that was known when it was written: at most the
    /// time of the write. The ceilings bind for a while from here.
    pub known_store_ms: Option<u64>,
    /// Routers that take declarations while the store is away. One that keeps a declaration
    /// is enough for the declarer; its next process asks all.
    pub witnesses: Vec<RouterProcess>,
    /// Holdings by account.
    pub accounts: BTreeMap<Arc<str>, Holding>,
}

impl HoldingsRow {
    /// Returns the key of the row of `router`.
    pub fn key(router: &str) -> Key {
        Key::from_parts(&[HOLDINGS_PREFIX, router])
    }
}

impl HoldingsRow {
    /// Returns the tokens that may not leave before the next declaration, by account.
    pub fn kept(&self) -> Vec<(Arc<str>, u64)> {
        let kept = self.accounts.iter();
        kept.map(|(name, it)| (name.clone(), it.held.saturating_sub(it.ceiling))).collect()
    }
}
