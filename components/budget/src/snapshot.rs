//! Token amounts of an account, for metrics.

use types::{AccountName, Tokens};

/// Token amounts of a client account on one router, for metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountSnapshot {
    /// Name of the client account.
    pub account: AccountName,
    /// Unspent tokens of the router's grant, as last known.
    pub unspent: Tokens,
    /// Tokens reserved by requests.
    pub reserved: Tokens,
    /// Tokens of bills that are not known to be in the table.
    pub unsettled: Tokens,
    /// Number of requests that wait for tokens.
    pub waiting: usize,
}
