//! Membership of the other routers and messages to them.
//!
//! `PeerNetwork` transports the messages over TCP and runs the failure detector of the
//! `membership` crate on the control thread.

mod hints;
mod inbound;
mod limits;
mod link;
mod links;
mod network;
mod send_queue;
mod service;

use std::sync::Arc;

use membership::MembershipView;
use protocol::PeerBody;
use types::{RouterId, RouterName};

pub(crate) use self::{
    hints::run_host_hints,
    limits::{INBOUND_MAX_CONNECTIONS, INBOUND_SHARE},
    network::{PeerNetwork, PeerNetworkSettings},
};

/// Interface of the subsystems to the other routers.
pub trait Peers: Send + Sync {
    /// Returns the current membership view.
    fn view(&self) -> Arc<MembershipView>;

    /// Sends a message. It may be lost, delayed or delivered twice.
    fn send(&self, to: &RouterName, body: PeerBody);

    /// Registers a handler, which receives every message that arrives from now on.
    fn subscribe(&self, handler: Arc<dyn PeerHandler>);

    /// Announces to the others that this router is leaving.
    fn leave(&self);
}

/// Receives the messages of other routers. Called on the control thread; must not block.
pub trait PeerHandler: Send + Sync {
    /// Handles a message; ignores messages for other subsystems.
    fn on_message(&self, from: &RouterId, body: &PeerBody);
}
