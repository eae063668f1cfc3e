//! Membership of routers: the failure detector and the addresses given to callers.
//!
//! This crate decides only; it has no network code.

mod address_choice;
mod detector;
mod member;
mod member_state;
mod view;

pub use self::{
    address_choice::{ADDRESSES_PER_ANSWER, choose_addresses, random_answer_ttl},
    detector::{
        Action, Detector, DetectorSettings, MemberRecord, MemberStatus, Message, MessageKind,
    },
    member::Member,
    member_state::MemberState,
    view::MembershipView,
};
