//! Messages of the failure detector.

use std::net::SocketAddr;

use types::RouterName;

use crate::MemberRecord;

/// Message of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Record of the sender at the time of sending.
    pub sender: MemberRecord,
    /// Kind of message with its data.
    pub kind: MessageKind,
    /// Records of other members that the sender disseminates.
    pub updates: Vec<MemberRecord>,
}

/// Kind of a message of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Requests an [`Ack`](MessageKind::Ack) with the same probe number.
    Ping {
        /// Number of the probe, chosen by the sender.
        probe: u64,
    },
    /// Answers a ping, or forwards the answer to a ping that was relayed for the receiver.
    Ack {
        /// Number of the answered probe, as chosen by the receiver.
        probe: u64,
    },
    /// Asks the receiver to ping another member and to forward the answer.
    PingRequest {
        /// Number of the probe, chosen by the sender.
        probe: u64,
        /// Name of the member to ping.
        target: RouterName,
        /// Peer address of the member to ping.
        target_address: SocketAddr,
    },
    /// Requests the records of all live members that the receiver knows.
    Join,
    /// Only carries records and requests no answer.
    Gossip,
}
