//! What the failure detector wants done.

use std::net::SocketAddr;

use types::RouterId;

use crate::{MemberState, Message};

/// What the failure detector wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the peer address `to`. It may be lost.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Box<Message>,
    },
    /// Note that the state of a member has changed, as far as this router knows.
    MemberChanged {
        /// The member.
        id: RouterId,
        /// Its new state.
        state: MemberState,
    },
}

impl Action {
    /// Creates the action that sends `message` to the peer address `to`.
    pub(super) fn send(to: SocketAddr, message: Message) -> Action {
        Action::Send { to, message: Box::new(message) }
    }
}
