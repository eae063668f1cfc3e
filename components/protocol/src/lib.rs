//! Messages between routers, and the frames that carry them.
//!
//! The messages are hand-written prost structs, one file for each subsystem.

mod budget;
mod config;
mod envelope;
mod frame;
mod membership;
mod requests;
mod routing;
mod socket_address;

pub use self::{
    budget::{
        BilledRequest, BillsHeld, BudgetBody, BudgetMessage, CeilingRaised, ForgetBills, HoldBills,
        LoanCredited, LoanRequest, LoanTotal, RaiseCeiling,
    },
    config::{ConfigAnswer, ConfigKind, ConfigMessage, ConfigRequest},
    envelope::{Envelope, PeerBody},
    frame::{FRAME_MAX_BYTES, FrameCodec, FrameError},
    membership::{
        MemberRecordMessage, MembershipError, MembershipKind, MembershipMessage,
        PingRequestMessage, StatusMessage,
    },
    requests::{
        AnswerEndBody, AnswerHeadMessage, AttemptRef, ClaimMessage, DecisionBody, DecisionMessage,
        EndKind, EndedMessage, FailedEnd, FetchMessage, HandoverMessage, HandoverRef, KeptRef,
        PartMessage, PromiseMessage, RequestRef, RequestsBody, RequestsMessage, WholeEnd,
    },
    routing::{CrashRecordMessage, RoutingMessage},
    socket_address::AddressError,
};
