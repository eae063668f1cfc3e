//! Membership of routers: the failure detector and the addresses given to callers.
//!
//! This crate decides only; it has no network code.

mod member;
mod member_state;
mod view;

pub use self::{member::Member, member_state::MemberState, view::MembershipView};
