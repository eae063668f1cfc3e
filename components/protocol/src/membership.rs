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
    /// What the message is for.
    #[prost(oneof = "MembershipKind", tags = "2, 3, 4, 5, 6")]
    pub kind: Option<MembershipKind>,
    /// Records of other members.
    #[prost(message, repeated, tag = "7")]
    pub updates: Vec<MemberRecordMessage>,
}

/// What a message of the failure detector is for.
#[derive(Clone, PartialEq, Oneof)]
pub enum MembershipKind {
    /// Number of a probe to answer.
    #[prost(uint64, tag = "2")]
    Ping(u64),
    /// Number of the probe that is answered.
    #[prost(uint64, tag = "3")]
    Ack(u64),
    /// Another member to ping.
    #[prost(message, tag = "4")]
    PingRequest(PingRequestMessage),
    /// Request for all members.
    #[prost(bool, tag = "5")]
    Join(bool),
    /// Records only.
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
    /// Its peer address.
    #[prost(bytes = "vec", tag = "3")]
    pub target_address: Vec<u8>,
}

/// Record of a member.
#[derive(Clone, PartialEq, Message)]
pub struct MemberRecordMessage {
    /// Name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Incarnation.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Failure domain.
    #[prost(string, tag = "3")]
    pub failure_domain: String,
    /// Address for callers.
    #[prost(bytes = "vec", tag = "4")]
    pub caller_address: Vec<u8>,
    /// Address for the other routers.
    #[prost(bytes = "vec", tag = "5")]
    pub peer_address: Vec<u8>,
    /// Refutation number.
    #[prost(uint64, tag = "6")]
    pub refutation: u64,
    /// Heartbeat number.
    #[prost(uint64, tag = "7")]
    pub heartbeat: u64,
    /// Status.
    #[prost(enumeration = "StatusMessage", tag = "8")]
    pub status: i32,
    /// Time since it was found dead, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub dead_for_ms: u64,
    /// Whether it is leaving.
    #[prost(bool, tag = "10")]
    pub is_leaving: bool,
    /// Requests in progress.
    #[prost(uint32, tag = "11")]
    pub load: u32,
    /// Configuration version.
    #[prost(uint64, tag = "12")]
    pub config_version: u64,
}

/// Status of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Enumeration)]
#[repr(i32)]
pub enum StatusMessage {
    /// It answers.
    Alive = 0,
    /// It is suspected.
    Suspect = 1,
    /// It is dead.
    Dead = 2,
}

/// Why a message of the failure detector cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum MembershipError {
    /// A name is malformed.
    #[error("malformed name: {0}")]
    Name(#[from] NameError),
    /// An address is malformed.
    #[error(transparent)]
    Address(#[from] AddressError),
    /// A field is missing, or holds a value that this version does not know.
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
mod tests {
    use super::*;

    fn record() -> MemberRecord {
        MemberRecord {
            id: RouterId::new(RouterName::new("zlin-1").unwrap(), Incarnation(7)),
            failure_domain: FailureDomain::new("zlin").unwrap(),
            caller_address: "127.0.0.1:8000".parse().unwrap(),
            peer_address: "[::1]:8001".parse().unwrap(),
            refutation: 3,
            heartbeat: 9,
            status: MemberStatus::Dead,
            dead_for: Duration::from_millis(1_500),
            is_leaving: true,
            load: 12,
            config_version: ConfigVersion(4),
        }
    }

    #[test]
    fn messages_survive_a_round_trip() {
        let target = RouterName::new("vsetin-2").unwrap();
        let target_address = "10.0.0.2:8001".parse().unwrap();
        for kind in [
            MessageKind::Ping { probe: 5 },
            MessageKind::Ack { probe: 5 },
            MessageKind::PingRequest { probe: 5, target, target_address },
            MessageKind::Join,
            MessageKind::Gossip,
        ] {
            let message = DetectorMessage { sender: record(), kind, updates: vec![record()] };
            let encoded = MembershipMessage::from(&message).encode_to_vec();
            let decoded = MembershipMessage::decode(&*encoded).unwrap();
            assert_eq!(DetectorMessage::try_from(&decoded), Ok(message));
        }
    }

    #[test]
    fn malformed_fields_are_errors() {
        let good = MemberRecordMessage::from(&record());
        let bad_status = MemberRecordMessage { status: 9, ..good.clone() };
        let bad_address = MemberRecordMessage { peer_address: vec![1], ..good.clone() };
        let bad_name = MemberRecordMessage { name: "a b".to_owned(), ..good };
        for bad in [bad_status, bad_address, bad_name] {
            assert!(MemberRecord::try_from(&bad).is_err());
        }
        assert!(DetectorMessage::try_from(&MembershipMessage::default()).is_err());
    }
}
