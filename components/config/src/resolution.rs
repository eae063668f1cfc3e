//! Resolutions of what only an operator can decide.

use std::fmt;

use serde::{Deserialize, Serialize};
use types::{AccountName, Incarnation, RequestId, RouterName, Tokens};

/// An operator's resolution of a state that the fleet cannot settle by itself. The
/// subsystem that owns the rows turns it into writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Resolution {
    /// Closes the grant of a router that is gone.
    CloseGrant {
        /// Client account.
        account: AccountName,
        /// Router that held the grant.
        router: RouterName,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Tokens of the grant that are taken as spent; the rest returns to the budget.
        spent: Tokens,
    },
    /// Says what became of a call whose outcome is unknown.
    SettleRequest {
        /// Client account.
        account: AccountName,
        /// Request id.
        request: RequestId,
        /// Whether the call ran.
        ran: bool,
    },
}

impl Resolution {
    /// Returns the client account that it concerns.
    pub fn account(&self) -> &AccountName {
        match self {
            Resolution::CloseGrant { account, .. } | Resolution::SettleRequest { account, .. } => {
                account
            }
        }
    }
}

impl fmt::Display for Resolution {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Resolution::CloseGrant { account, router, incarnation, spent } => write!(
                f,
                "close the grant of account {account} on router {router} \
                 (incarnation {}) with {spent} tokens spent",
                incarnation.0
            ),
            Resolution::SettleRequest { account, request, ran } => {
                let outcome = if *ran { "ran" } else { "did not run" };
                write!(f, "settle request {request} of account {account}: it {outcome}")
            }
        }
    }
}
