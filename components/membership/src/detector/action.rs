//! Actions requested by the failure detector.

use std::net::SocketAddr;

use types::RouterId;

use crate::{MemberState, Message};

/// Action that the caller of the failure detector must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to another router. Delivery need not be reliable.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// Message to send.
        message: Box<Message>,
    },
    /// Report that the state of a member has changed in this router's view.
    MemberChanged {
        /// Name and incarnation of the member.
        id: RouterId,
        /// New state of the member.
        state: MemberState,
    },
}

impl Action {
    /// Creates the action that sends `message` to the peer address `to`.
    pub(super) fn send(to: SocketAddr, message: Message) -> Action {
        Action::Send { to, message: Box::new(message) }
    }
}
