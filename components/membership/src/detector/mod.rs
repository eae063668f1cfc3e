//! The failure detector: probes, suspicion, refutation and dissemination of changes.
//!
//! It follows the SWIM protocol: each router probes one member per period, first directly
//! and then through other members, and disseminates changes by piggybacking them on its
//! messages. The number of messages that a router sends therefore does not grow with the
//! number of members.

mod action;
mod core;
mod gossip;
mod merge;
mod message;
mod outbox;
mod probe;
mod record;
mod roster;
mod settings;
mod suspicion;

pub use self::{
    action::Action,
    core::Detector,
    message::{Message, MessageKind},
    record::{MemberRecord, MemberStatus},
    settings::DetectorSettings,
};
