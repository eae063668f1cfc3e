//! Messages of the failure detector.

use std::{net::SocketAddr, time::Duration};

use membership::{MemberRecord, MemberStatus, Message as DetectorMessage, MessageKind};
use prost::{Enumeration, Message, Oneof};
use thiserror::Error;
use types::{ConfigVersion, FailureDomain, Incarnation, NameError, RouterId, RouterName};

use crate::socket_address::{AddressError, decode_address, encode_address};

/// Message of the failure detector.
#[derive(Clone, PartialEq, Message)]
pub struct MembershipMessage {
    /// Record of the sender.
    #[prost(message, optional, boxed, tag = "1")]
    pub sender: Option<Box<MemberRecordMessage>>,
    /// Kind of the message; `None` if a newer version sent a kind unknown to this version.
    #[prost(oneof = "MembershipKind", tags = "2, 3, 4, 5, 6")]
    pub kind: Option<MembershipKind>,
    /// Records of other members.
    #[prost(message, repeated, tag = "7")]
    pub updates: Vec<MemberRecordMessage>,
}

/// Kinds of messages of the failure detector.
#[derive(Clone, PartialEq, Oneof)]
pub enum MembershipKind {
    /// Asks for an acknowledgement of the probe with this number.
    #[prost(uint64, tag = "2")]
    Ping(u64),
    /// Acknowledges the probe with this number.
    #[prost(uint64, tag = "3")]
    Ack(u64),
    /// Asks the receiver to ping another member and to pass on its answer.
    #[prost(message, tag = "4")]
    PingRequest(PingRequestMessage),
    /// Asks for all members that the receiver knows. The value is always true.
    #[prost(bool, tag = "5")]
    Join(bool),
    /// Carries member records only. The value is always true.
    #[prost(bool, tag = "6")]
    Gossip(bool),
}

/// Request to ping another member.
#[derive(Clone, PartialEq, Message)]
pub struct PingRequestMessage {
    /// Number of the probe.
    #[prost(uint64, tag = "1")]
    pub probe: u64,
    /// Name of the member to ping.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Peer address of that member, encoded as in the `socket_address` module.
    #[prost(bytes = "vec", tag = "3")]
    pub target_address: Vec<u8>,
}

/// Record of a member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberRecordMessage {
    /// Name of the router.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation of the router.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Failure domain of its host.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Address for callers, encoded as in the `socket_address` module.
    #[prost(bytes = "vec", tag = "4")]
    pub caller_address: Vec<u8>,
    /// Address for the other routers, encoded as in the `socket_address` module.
    #[prost(bytes = "vec", tag = "5")]
    pub peer_address: Vec<u8>,
    /// Counter that the member increments when it refutes a suspicion or its death.
    #[prost(uint64, tag = "6")]
    pub refutation: u64,
    /// Counter that the member increments when it publishes its load.
    #[prost(uint64, tag = "7")]
    pub heartbeat: u64,
    /// Status, as a [`StatusMessage`].
    #[prost(enumeration = "StatusMessage", tag = "8")]
    pub status: i32,
    /// Time since the member was found dead, in milliseconds; 0 if it is not dead.
    #[prost(uint64, tag = "9")]
    pub dead_for_ms: u64,
    /// Whether the member is leaving the fleet.
    #[prost(bool, tag = "10")]
    pub is_leaving: bool,
    /// Requests in progress on the member.
    #[prost(uint32, tag = "11")]
    pub load: u32,
    /// Version of the configuration in force on the member.
    #[prost(uint64, tag = "12")]
    pub config_version: u64,
}

/// Status of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum StatusMessage {
    /// The member answers probes.
    Alive = 0,
    /// The member is suspected to be dead.
    Suspect = 1,
    /// The member was found dead.
    Dead = 2,
}

/// Reason why a message of the failure detector cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// The name of a router or failure domain is malformed.
    #[error("malformed name: {0}")]
    Name(#[from] NameError),
    /// An address is malformed.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// A field is missing or has a value unknown to this version.
    #[error("missing or unknown field: {0}")]
    Field(&'static str),
}

impl From<&MemberRecord> for MemberRecordMessage {
    fn from(record: &MemberRecord) -> MemberRecordMessage {
        let status = match record.status {
            MemberStatus::Alive => StatusMessage::Alive,
            MemberStatus::Suspect => StatusMessage::Suspect,
            MemberStatus::Dead => StatusMessage::Dead,
        };
        MemberRecordMessage {
            name: record.id.name.to_string(),
            incarnation: record.id.incarnation.0,
            failure_domain: record.failure_domain.to_string(),
            caller_address: encode_address(record.caller_address),
            peer_address: encode_address(record.peer_address),
            refutation: record.refutation,
            heartbeat: record.heartbeat,
            status: status.into(),
            dead_for_ms: u64::try_from(record.dead_for.as_millis()).unwrap_or(u64::MAX),
            is_leaving: record.is_leaving,
            load: record.load,
            config_version: record.config_version.0,
        }
    }
}

impl TryFrom<&MemberRecordMessage> for MemberRecord {
    type Error = MembershipError;

    fn try_from(message: &MemberRecordMessage) -> Result<MemberRecord, MembershipError> {
        let status = StatusMessage::try_from(message.status);
        let status = match status.map_err(|_| MembershipError::Field("status"))? {
            StatusMessage::Alive => MemberStatus::Alive,
            StatusMessage::Suspect => MemberStatus::Suspect,
            StatusMessage::Dead => MemberStatus::Dead,
        };
        let name = RouterName::new(&message.name)?;
        Ok(MemberRecord {
            id: RouterId::new(name, Incarnation(message.incarnation)),
            failure_domain: FailureDomain::new(&message.failure_domain)?,
            caller_address: decode_address(&message.caller_address)?,
            peer_address: decode_address(&message.peer_address)?,
            refutation: message.refutation,
            heartbeat: message.heartbeat,
            status,
            dead_for: Duration::from_millis(message.dead_for_ms),
            is_leaving: message.is_leaving,
            load: message.load,
            config_version: ConfigVersion(message.config_version),
        })
    }
}

impl From<&DetectorMessage> for MembershipMessage {
    fn from(message: &DetectorMessage) -> MembershipMessage {
        MembershipMessage {
            sender: Some(Box::new((&message.sender).into())),
            kind: Some((&message.kind).into()),
            updates: message.updates.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<&MembershipMessage> for DetectorMessage {
    type Error = MembershipError;

    fn try_from(message: &MembershipMessage) -> Result<DetectorMessage, MembershipError> {
        let sender = message.sender.as_deref().ok_or(MembershipError::Field("sender"))?;
        let kind = message.kind.as_ref().ok_or(MembershipError::Field("kind"))?;
        Ok(DetectorMessage {
            sender: sender.try_into()?,
            kind: kind.try_into()?,
            updates: message.updates.iter().map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }
}

impl From<&MessageKind> for MembershipKind {
    fn from(kind: &MessageKind) -> MembershipKind {
        match kind {
            MessageKind::Ping { probe } => MembershipKind::Ping(*probe),
            MessageKind::Ack { probe } => MembershipKind::Ack(*probe),
            MessageKind::PingRequest { probe, target, target_address } => {
                MembershipKind::PingRequest(PingRequestMessage {
                    probe: *probe,
                    target: target.to_string(),
                    target_address: encode_address(*target_address),
                })
            }
            MessageKind::Join => MembershipKind::Join(true),
            MessageKind::Gossip => MembershipKind::Gossip(true),
        }
    }
}

impl TryFrom<&MembershipKind> for MessageKind {
    type Error = MembershipError;

    fn try_from(kind: &MembershipKind) -> Result<MessageKind, MembershipError> {
        Ok(match kind {
            MembershipKind::Ping(probe) => MessageKind::Ping { probe: *probe },
            MembershipKind::Ack(probe) => MessageKind::Ack { probe: *probe },
            MembershipKind::PingRequest(req) => {
                let target: SocketAddr = decode_address(&req.target_address)?;
                MessageKind::PingRequest {
                    probe: req.probe,
                    target: RouterName::new(&req.target)?,
                    target_address: target,
                }
            }
            MembershipKind::Join(_) => MessageKind::Join,
            MembershipKind::Gossip(_) => MessageKind::Gossip,
        })
    }
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
