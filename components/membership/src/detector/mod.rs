//! The failure detector: probes, suspicion, refutation and the spread of changes.
//!
//! It follows SWIM: each router probes one member a period, directly and then through
//! others, and passes changes on inside the messages that it sends anyway. So the
//! messages of a router do not grow with the number of members.

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
