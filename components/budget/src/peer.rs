//! Peers, as budgets see them.

use types::{FailureDomain, RouterId};

/// A live router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BudgetPeer {
    /// Identity.
    pub id: RouterId,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Whether it is leaving, so that nothing new should depend on it.
    pub is_leaving: bool,
}
