//! Messages between routers, and the frames that carry them.
//!
//! Messages are prost structs written by hand; each subsystem has its own file.

mod budget;
mod config;
mod envelope;
mod frame;
mod membership;
mod requests;
mod socket_address;

pub use self::{
    budget::BudgetMessage,
    config::ConfigMessage,
    envelope::{Envelope, PeerBody},
    frame::{FRAME_MAX_BYTES, FrameCodec, FrameError},
    membership::{
        MemberRecordMessage, MembershipError, MembershipKind, MembershipMessage,
        PingRequestMessage, StatusMessage,
    },
    requests::RequestsMessage,
    socket_address::AddressError,
};
