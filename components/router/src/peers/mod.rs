//! The other routers, as the subsystems see them.
//!
//! [`PeerNetwork`] carries the messages over TCP and runs the failure detector of
//! `membership` on the control thread.

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
    network::{PeerNetwork, PeerNetworkSettings},
};

/// The other routers.
pub trait Peers: Send + Sync {
    /// Returns the present membership.
    fn view(&self) -> Arc<MembershipView>;

    /// Sends a message. It may be lost, come late or come twice.
    fn send(&self, to: &RouterName, body: PeerBody);

    /// Registers a handler, which gets every message that arrives from now on.
    fn subscribe(&self, handler: Arc<dyn PeerHandler>);

    /// Tells the others that this router is leaving.
    fn leave(&self);
}

/// Gets the messages of other routers. Called on the control thread; must not block.
pub trait PeerHandler: Send + Sync {
    /// Handles a message; ignores those of other subsystems.
    fn on_message(&self, from: &RouterId, body: &PeerBody);
}
