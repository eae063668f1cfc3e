//! Handler of messages from other routers.

use std::sync::Weak;

use protocol::PeerBody;
use types::RouterId;

use super::FleetRegistry;
use crate::peers::PeerHandler;

/// Passes messages of other routers about request ids to the registry.
pub(super) struct MessageHandler {
    /// Registry; a weak reference, so that the subscription does not keep it alive.
    pub(super) registry: Weak<FleetRegistry>,
}

impl PeerHandler for MessageHandler {
    fn on_message(&self, from: &RouterId, body: &PeerBody) {
        let PeerBody::Requests(message) = body else { return };
        if let (Some(registry), Some(body)) = (self.registry.upgrade(), &message.body) {
            registry.on_message(from, body);
        }
    }
}
