//! What the failure detector wants done.

use std::net::SocketAddr;

use crate::Message;

/// What the failure detector wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a message to the peer address `to`. It may be lost.
    Send {
        /// Peer address of the receiver.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
}
