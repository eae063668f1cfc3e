//! Messages between routers, and the frames that carry them.
//!
//! Messages are prost structs written by hand; each subsystem has its own file.

mod budget;
mod config;
mod envelope;
mod frame;
mod membership;
mod requests;
mod routing;

pub use self::{
    budget::BudgetMessage,
    config::ConfigMessage,
    envelope::{Envelope, PeerBody},
    frame::{FRAME_MAX_BYTES, FrameCodec, FrameError},
    membership::MembershipMessage,
    requests::RequestsMessage,
    routing::{CrashRecordMessage, RoutingMessage},
};
