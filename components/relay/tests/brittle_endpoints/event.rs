//! Requests and events of the simulation.

use std::sync::Arc;

use relay::{
    endpoints::{Admission, EndpointChange, LoadShare, Placement},
    peers::{LivenessReport, Member, StatementMessage},
};
use types::Timestamp;

use crate::endpoint::Arrival;

/// A caller's request.
pub(crate) struct Request {
    pub(crate) router: usize,
    pub(crate) router_started_at: Timestamp,
    pub(crate) wait_until: Timestamp,
    pub(crate) attempts: u32,
    pub(crate) is_over: bool,
    /// Where it is, or is about to be sent.
    pub(crate) placement: Option<Placement>,
    /// Number of the request to admit it, and the router that was asked.
    pub(crate) admission: Option<(u64, usize)>,
    /// Whether that router has not answered yet.
    pub(crate) is_asking: bool,
    pub(crate) sent_at: Timestamp,
}

/// What happens at a time of the simulation.
pub(crate) enum Event {
    /// A router places a request.
    Place(usize),
    /// A router's admission request arrives at the owner.
    Ask { request: usize, number: u64, owner: usize },
    /// The owner's answer arrives.
    Reply { request: usize, number: u64, owner: usize, admission: Admission },
    /// The owner has not answered in time.
    Unanswered { request: usize, number: u64 },
    /// The end of an admitted request is reported.
    End { from: usize, owner: usize, endpoint: Arc<str>, number: u64, is_refused: bool },
    /// A request arrives at its endpoint.
    Arrive(usize),
    /// A request that an endpoint process runs is done.
    Done { request: usize, endpoint: usize, restarts: u64 },
    /// An answer arrives at the router.
    Answer { request: usize, arrival: Arrival },
    /// A status message arrives.
    Status { from: usize, to: usize, status: Arc<Status> },
    /// An endpoint is up again.
    Restart(usize),
    /// A router reads the change of an entry.
    List { router: usize, change: EndpointChange },
    /// A router sends a round of status messages, unless it has been restarted since.
    Round { router: usize, started_at: Timestamp },
}

/// A router's status message.
pub(crate) struct Status {
    pub(crate) member: Member,
    /// Whether the sender has just started and asks for the others' states.
    pub(crate) wants_answer: bool,
    pub(crate) part: u8,
    pub(crate) loads: Vec<LoadShare>,
    pub(crate) liveness: Vec<LivenessReport>,
    pub(crate) statements: Vec<StatementMessage>,
}
