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
mod socket_address;

pub use self::{
    budget::{
        AskLoan, BilledRequest, BillsHeld, BudgetBody, BudgetMessage, CeilingRaised, ForgetBills,
        HoldBills, LoanCredited, LoanTotal, RaiseCeiling,
    },
    config::{ConfigAnswer, ConfigKind, ConfigMessage, ConfigRequest},
    envelope::{Envelope, PeerBody},
    frame::{FRAME_MAX_BYTES, FrameCodec, FrameError},
    membership::{
        MemberRecordMessage, MembershipError, MembershipKind, MembershipMessage,
        PingRequestMessage, StatusMessage,
    },
    requests::{
        AnswerEndRef, AnswerHeadRef, AttemptRef, ClaimMessage, EndKind, EndedMessage, FailedEnd,
        FetchMessage, HeldMessage, HeldRef, KeptRef, PartMessage, PromiseMessage, RequestRef,
        RequestsBody, RequestsMessage, VerdictBody, VerdictMessage, WholeEnd,
    },
    routing::{CrashRecordMessage, RoutingMessage},
    socket_address::AddressError,
};
