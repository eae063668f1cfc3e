//! State of the controller on this router.

use std::sync::Arc;

use arc_swap::ArcSwap;
use rollout::RolloutStatus;
use types::FencingNumber;

use super::lease_holder::LeaseHolder;

/// State of the controller on this router.
#[derive(Debug, Clone, Default)]
pub(crate) struct ControllerStatus {
    /// Fencing number of the lease where this router holds it.
    pub(crate) fencing: Option<FencingNumber>,
    /// Rollouts, as of the last round that this router did as the holder.
    pub(crate) rollouts: RolloutStatus,
}

/// Handle of the controller; clones share it.
#[derive(Clone)]
pub(crate) struct ControllerHandle {
    /// State.
    pub(super) status: Arc<ArcSwap<ControllerStatus>>,
    /// Contender for the lease.
    pub(super) lease: Arc<LeaseHolder>,
}

impl ControllerHandle {
    /// Returns the state.
    pub(crate) fn status(&self) -> Arc<ControllerStatus> {
        self.status.load_full()
    }

    /// Gives the lease up, so that another router takes over at once.
    pub(crate) async fn release(&self) {
        self.lease.release().await;
    }
}
