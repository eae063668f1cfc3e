//! Peers as the ledger sees them.

use types::{FailureDomain, RouterId};

/// A live router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetPeer {
    /// Name and incarnation.
    pub id: RouterId,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Whether the router is about to exit. A leaving router is not chosen as a witness, holder or
    /// lender.
    pub is_leaving: bool,
}
