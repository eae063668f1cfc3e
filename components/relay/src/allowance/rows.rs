//! Rows of accounts and of routers in the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use platform::Key;
use serde::{Deserialize, Serialize};

use super::witness::RouterProcess;

/// Prefix of the keys of accounts' rows.
pub const ACCOUNT_PREFIX: &str = "allowance";

/// Prefix of the keys of routers' holdings rows.
pub const HOLDINGS_PREFIX: &str = "holdings";

/// The row of an account: how many of its prepaid tokens are drawn and spent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllowanceRow {
    /// Tokens that all routers have drawn and not returned. Never more than the prepaid tokens,
    /// unless an operator has lowered those.
    pub drawn: u64,
    /// Tokens that routers have reported as spent; at most `drawn`.
    pub spent: u64,
    /// Version of the desired state from which the last writer took the prepaid tokens. A router
    /// that knows only an older version draws nothing.
    pub limit_version: u64,
}

impl AllowanceRow {
    /// Returns the higher one of each number of both rows: at least as many drawn tokens as the newer one
    /// of them has.
    pub fn highest(&self, other: &AllowanceRow) -> AllowanceRow {
        AllowanceRow {
            drawn: self.drawn.max(other.drawn),
            spent: self.spent.max(other.spent),
            limit_version: self.limit_version.max(other.limit_version),
        }
    }

    /// Returns the key of the row of `account`.
    pub fn key(account: &str) -> Key {
        Key::from_parts(&[ACCOUNT_PREFIX, account])
    }
}

/// Identifies one commit of one router, so that a later read shows whether it took effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CommitId {
    /// Process of the router; a random number chosen at its start.
    pub process: u64,
    /// Number of the commit, counted within the process.
    pub number: u64,
}

/// The tokens of one account that a router declares.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// Tokens that the router holds.
    pub held: u64,
    /// How many of these may be spent or lent before the next declaration. Builds that do not know
    /// `start` rely on it for 3.2 s, and without time limit if no witness has confirmed more.
    pub ceiling: u64,
    /// How many may be spent or lent at once; `None` in rows of builds whose ceilings do not grow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start: Option<u64>,
    /// Tokens by which the ceiling grows from `start`, per second, up to the age of 3.2 s. The tokens
    /// spent or lent never exceed `held`, even if the ceiling does.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub per_second: u64,
    /// Tokens by which it grows per second from then on.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub later_per_second: u64,
}

/// The holdings row of a router: the tokens that it holds. Only the processes of this router write
/// it, one after the other.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldingsRow {
    /// The commit that wrote the row.
    pub mark: CommitId,
    /// Latest store time that the writer knew, in milliseconds; not later than the write. The age of
    /// the declaration is counted from this time.
    pub known_store_ms: Option<u64>,
    /// Age of the declaration, in milliseconds, up to which the writer spends or lends tokens without
    /// the confirmation of its witnesses. `None` in rows of builds whose ceilings do not grow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unwitnessed_ms: Option<u64>,
    /// Age of the declaration, in milliseconds, up to which the writer keeps to the ceilings even if
    /// witnesses have confirmed more. `None` in rows of builds whose ceilings do not grow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cap_ms: Option<u64>,
    /// Era of the store in which the row was written. The row of another era is void: the tokens may have
    /// been spent or returned since.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub era: Option<u64>,
    /// Routers to which declarations are sent while the store is unavailable.
    pub witnesses: Vec<RouterProcess>,
    /// Number of witnesses that have to store a declaration before the writer relies on it. Zero in the
    /// rows of builds for which one is enough.
    #[serde(default, skip_serializing_if = "is_zero_u32")]
    pub confirmations: u32,
    /// Holdings by account.
    pub accounts: BTreeMap<Arc<str>, Holding>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "the signature is that of serde")]
fn is_zero_u32(number: &u32) -> bool {
    *number == 0
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "the signature is that of serde")]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl HoldingsRow {
    /// Returns the key of the row of `router`.
    pub fn key(router: &str) -> Key {
        Key::from_parts(&[HOLDINGS_PREFIX, router])
    }
}

impl HoldingsRow {
    /// Returns how many of `witnesses` have to store a declaration: with two or fewer one, otherwise more
    /// than half of them.
    pub fn confirmations_of(witnesses: usize) -> u32 {
        u32::try_from(witnesses.div_ceil(2)).unwrap_or(u32::MAX)
    }

    /// Returns how many witnesses have to store a declaration before the writer relies on it.
    pub fn confirmations_needed(&self) -> usize {
        usize::try_from(self.confirmations).unwrap_or(usize::MAX).max(1)
    }

    /// Returns how many witnesses have to make a statement to the next process, so that at least one of
    /// them has stored each declaration that the writer relied on. One, which nobody can make, if the row
    /// names no witnesses.
    pub fn statements_needed(&self) -> usize {
        (self.witnesses.len() + 1).saturating_sub(self.confirmations_needed()).max(1)
    }

    /// Returns the tokens that are neither spent nor lent until the declaration has this age, by
    /// account.
    pub fn kept_until(&self, age: Duration) -> Vec<(Arc<str>, u64)> {
        self.accounts.iter().map(|(name, it)| (name.clone(), it.kept_until(age))).collect()
    }

    /// Returns the tokens that the writer may never spend or lend before the next declaration, by
    /// account, if no witness confirms more.
    pub fn kept(&self) -> Vec<(Arc<str>, u64)> {
        self.kept_until(self.unwitnessed_time())
    }
}
