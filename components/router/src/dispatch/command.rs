//! Commands to the scheduler task.

use std::{net::IpAddr, time::Duration};

use engine_api::{CacheEvent, LoadReport};
use errors::Result;
use routing::{AttemptOutcome, CrashRecord, EndpointNeed};
use tokio::sync::oneshot;
use types::EndpointName;
use utils::HashSet;

use super::granted_lease::GrantedLease;

/// Command to the scheduler task.
#[derive(Debug)]
pub(super) enum Command {
    /// A request needs an endpoint.
    Acquire {
        /// What the endpoint must provide.
        need: Box<EndpointNeed>,
        /// Receives the lease; closed once the request no longer waits.
        reply: oneshot::Sender<Result<GrantedLease>>,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Number of the lease.
        lease: u64,
        /// Time from the start of the attempt.
        latency: Duration,
    },
    /// An attempt ended.
    Finish {
        /// Number of the lease.
        lease: u64,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// The load of an engine was polled.
    Report {
        /// Endpoint.
        endpoint: EndpointName,
        /// Load report; `None` if the engine did not send one.
        report: Option<LoadReport>,
    },
    /// Cache events of an engine were polled.
    CacheEvents {
        /// Endpoint.
        endpoint: EndpointName,
        /// Events, oldest first.
        events: Vec<CacheEvent>,
        /// Whether events before these were missed.
        has_gap: bool,
    },
    /// The host list was read; these are the addresses of the leaving hosts.
    LeavingHosts(HashSet<IpAddr>),
    /// Another router sent records of contents that crash endpoints.
    Crashes(Vec<CrashRecord>),
}
