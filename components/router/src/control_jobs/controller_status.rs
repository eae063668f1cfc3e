//! State of this router's controller.

use std::sync::Arc;

use arc_swap::ArcSwap;
use rollout::RolloutStatus;
use types::FencingNumber;

use super::lease_holder::LeaseTask;

/// State of this router's controller.
#[derive(Debug, Clone, Default)]
pub(crate) struct ControllerStatus {
    /// Fencing number of the lease; `None` unless this router holds it.
    pub(crate) fencing: Option<FencingNumber>,
    /// State of the rollouts as of the last round in which this router held the lease.
    pub(crate) rollouts: RolloutStatus,
}

/// Handle of the controller; clones share it.
#[derive(Clone)]
pub(crate) struct ControllerHandle {
    /// State as of the last round.
    pub(super) status: Arc<ArcSwap<ControllerStatus>>,
    /// Task that contends for the controller's lease.
    pub(super) lease: Arc<LeaseTask>,
}

impl ControllerHandle {
    /// Returns the state as of the last round.
    pub(crate) fn status(&self) -> Arc<ControllerStatus> {
        self.status.load_full()
    }

    /// Releases the lease, so that another router can acquire it without waiting for it to expire.
    pub(crate) async fn release(&self) {
        self.lease.release().await;
    }
}
