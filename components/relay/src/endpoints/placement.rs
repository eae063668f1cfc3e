//! What a request needs of its endpoint, and what was chosen for it.

use std::{net::SocketAddr, sync::Arc};

use types::Timestamp;

use super::load::Load;
use crate::model::{PromptPart, ServiceSpec, TokenDemand};

/// Requirements of a request that is to be placed on an endpoint.
#[derive(Debug, Clone)]
pub struct PlacementRequest<'a> {
    /// Service that is to run the request.
    pub service: &'a Arc<str>,
    /// Specification of the service in the desired state; `None` if it has none.
    pub spec: Option<&'a ServiceSpec>,
    /// Declared tokens, for requests to model engines.
    pub tokens: Option<TokenDemand>,
    /// Parts of the prompt, in order; the last one belongs to this request alone.
    pub parts: &'a [PromptPart],
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Ids of endpoints that failed the request; they are chosen only as a last resort.
    pub failed_endpoints: &'a [Arc<str>],
    /// Failure domain of this router.
    pub failure_domain: &'a str,
    /// Number of routers in the fleet that are or may be alive, including this one.
    pub routers: usize,
    /// Whether the request may begin a stream that its caller can take up elsewhere.
    pub begins_stream: bool,
    /// Version of the endpoints' software at which the request must run, if it goes on with a stream.
    pub version: Option<&'a Arc<str>>,
    /// What the request contains that may crash endpoints; `None` if nothing is known against it.
    pub suspect: Option<Suspect>,
    /// Share of an endpoint's capacity that requests of this priority may fill, from 0 to 1.
    pub fill_share: f64,
}

/// Content that may crash endpoints. All requests with it are placed on the same endpoint, so that
/// few are lost, and apart from other suspects, so that one that is innocent is answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspect {
    /// Its key.
    pub key: u64,
    /// Keys of other suspects, whose endpoints it does not use.
    pub others: Vec<u64>,
}

/// An endpoint chosen for a request, and the load that the request adds to it.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Failure domain of the endpoint.
    pub failure_domain: Arc<str>,
    /// Address to connect to.
    pub address: SocketAddr,
    /// Process of the endpoint.
    pub process: ProcessId,
    /// Version of the endpoint's software.
    pub version: Arc<str>,
    /// Whether the endpoint is brittle, so that its owner has to admit the request.
    pub is_brittle: bool,
    /// Load of the request, to be subtracted when it ends.
    pub load: Load,
    /// Number of requests that ran on the endpoint when this one was placed.
    pub running: u32,
    /// Prompt tokens that the endpoint has to process before the first event of the answer.
    pub tokens_ahead: u64,
    /// Estimated wait for the requests and prompts ahead of this one, including the time for its
    /// own prompt, in milliseconds.
    pub wait_ms: f64,
}

/// Where an endpoint accepts connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectTarget {
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Address to connect to.
    pub address: SocketAddr,
}

/// One process of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessId {
    /// Start time in the endpoint's entry, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Number of times that the router has seen a process of the endpoint end since the entry was
    /// written: the entry of a new process may come late.
    pub ended: u32,
}

/// Outcome of choosing an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// The request was placed.
    Placed(Placement),
    /// All endpoints of the service are at capacity.
    Full,
    /// No endpoint may get the request now, at least one because of the rate limit or the pause that
    /// it states, or because it is brittle.
    Limited(LimitedWait),
    /// No endpoint of the service accepts requests.
    NoEndpoint,
    /// All endpoints of the service that accept requests are in emptied failure domains.
    Emptied,
    /// Neither this router nor others could connect to any endpoint of the service a moment ago.
    Unreached,
    /// No endpoint of the version that the request needs accepts requests.
    NoVersion,
    /// The request begins a stream, and the store does not name the versions of the endpoints yet.
    Unnamed,
}

/// When a request that was held back by what endpoints state can be placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedWait {
    /// When the first of the endpoints may get a request from this router; `None` if none may.
    pub next_at: Option<Timestamp>,
    /// Whether other endpoints are at capacity, so that one may take the request earlier.
    pub is_any_full: bool,
}
