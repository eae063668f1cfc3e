//! Resolutions of states that only an operator can decide.

use std::fmt;

use serde::{Deserialize, Serialize};
use types::{AccountName, Incarnation, RequestId, RouterName, Tokens};

/// An operator's resolution of a state that the fleet cannot resolve by itself. The
/// subsystem that owns the affected rows translates it into writes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Resolution {
    /// Closes the grant of a router that has ended: the tokens that it spent are deducted,
    /// the rest returns to the budget.
    CloseGrant {
        /// Client account.
        account: AccountName,
        /// Router that held the grant.
        router: RouterName,
        /// Incarnation of that router.
        incarnation: Incarnation,
        /// Tokens of the grant in doubt that were spent without a bill.
        spent: Tokens,
    },
    /// Sets the outcome of a call whose outcome is unknown.
    SettleRequest {
        /// Client account.
        account: AccountName,
        /// Id of the request that made the call.
        request: RequestId,
        /// Whether the call ran.
        ran: bool,
        /// Whether the operator has verified that the router which recorded the call has
        /// ended and can no longer send it.
        #[serde(default)]
        router_ended: bool,
    },
}

impl Resolution {
    /// Returns the client account that the resolution affects.
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
                "close the grant of account {account} to router {router} (incarnation {}): \
                 {spent} tokens were spent, the rest returns to the budget",
                incarnation.0
            ),
            Resolution::SettleRequest { account, request, ran, router_ended } => {
                let outcome = if *ran { "ran" } else { "did not run" };
                write!(f, "settle request {request} of account {account}: it {outcome}")?;
                if *router_ended { f.write_str("; its router has ended") } else { Ok(()) }
            }
        }
    }
}
