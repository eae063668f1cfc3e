//! Messages of the failure detector.

use std::net::SocketAddr;

use types::RouterName;

use crate::MemberRecord;

/// Message of the failure detector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Record of the sender, as of now.
    pub sender: MemberRecord,
    /// What the message is for.
    pub kind: MessageKind,
    /// Records of other members that the sender passes on.
    pub updates: Vec<MemberRecord>,
}

/// What a message of the failure detector is for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Asks the receiver for an [`Ack`](MessageKind::Ack) with the same number.
    Ping {
        /// Number of the probe, chosen by the sender.
        probe: u64,
    },
    /// Answers a ping, or passes the answer of a member that was pinged for another.
    Ack {
        /// Number of the probe that is answered.
        probe: u64,
    },
    /// Asks the receiver to ping another member and to pass on its answer.
    PingRequest {
        /// Number of the probe, chosen by the sender.
        probe: u64,
        /// The member to ping.
        target: RouterName,
        /// Its peer address.
        target_address: SocketAddr,
    },
    /// Asks the receiver for all members that it knows.
    Join,
    /// Carries records only.
    Gossip,
}
