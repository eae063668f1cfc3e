//! Messages of other routers.

use std::sync::Weak;

use protocol::PeerBody;
use types::RouterId;

use super::FleetRegistry;
use crate::peers::PeerHandler;

/// Gets the messages of other routers for a registry.
pub(super) struct MessageHandler {
    /// Registry.
    pub(super) registry: Weak<FleetRegistry>,
}

impl PeerHandler for MessageHandler {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        let PeerBody::Requests(message) = body else { return };
        if let (Some(registry), Some(body)) = (self.registry.upgrade(), &message.body) {
            registry.on_requests(from, body);
        }
    }
}
