//! Membership of the router fleet: the failure detector, and the choice of the router
//! addresses that callers are given.
//!
//! This crate contains decision logic only: it does no network I/O.

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
