//! Orders to endpoints.

use engine_api::OrderKind;
use types::EndpointName;

/// An order to one endpoint, without its fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointOrder {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// What it is to do.
    pub kind: OrderKind,
}

impl EndpointOrder {
    /// Tells whether the order is harmless where it arrives late, after orders of a
    /// later holder of the lease. Endpoints that do not check fencing numbers get no
    /// other orders.
    pub fn is_safe_when_late(&self) -> bool {
        match self.kind {
            // At worst, weights are loaded that nobody uses any more.
            OrderKind::Load { .. } | OrderKind::LoadAdapter { .. } => true,
            // A version that is wanted again would be taken away.
            OrderKind::Unload { .. } | OrderKind::SetRole { .. } => false,
        }
    }
}
