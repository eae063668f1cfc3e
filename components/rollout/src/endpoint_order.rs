//! Orders to endpoints.

use engine_api::OrderKind;
use types::EndpointName;

/// An order to one endpoint, without the fencing number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointOrder {
    /// Endpoint that receives the order.
    pub endpoint: EndpointName,
    /// What the endpoint must do.
    pub kind: OrderKind,
}

impl EndpointOrder {
    /// Returns whether the order is harmless if it arrives late, after orders of a later
    /// holder of the controller lease. Endpoints that do not check fencing numbers get only
    /// such orders.
    pub fn is_safe_when_late(&self) -> bool {
        match self.kind {
            // At worst, the endpoint loads weights that are no longer used.
            OrderKind::Load { .. } | OrderKind::LoadAdapter { .. } => true,
            // A version that is desired again would be unloaded.
            OrderKind::Unload { .. } | OrderKind::SetRole { .. } => false,
        }
    }
}
