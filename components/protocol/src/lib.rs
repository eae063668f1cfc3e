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
    requests::{
        AnswerEndRef, AnswerHeadRef, AttemptRef, ClaimMessage, EndKind, EndedMessage, FailedEnd,
        FetchMessage, HeldMessage, HeldRef, KeptRef, PartMessage, RequestRef, RequestsBody,
        RequestsMessage, VerdictBody, VerdictMessage, WholeEnd,
    },
    routing::{CrashRecordMessage, RoutingMessage},
};
