//! Membership of routers: the failure detector and the addresses given to callers.
//!
//! This crate decides only; it has no network code.

mod detector;
mod member;
mod member_state;
mod view;

pub use self::{
    detector::{
        Action, Detector, DetectorSettings, MemberRecord, MemberStatus, Message, MessageKind,
    },
    member::Member,
    member_state::MemberState,
    view::MembershipView,
};
