//! Commands to the scheduler's task.

use std::{net::IpAddr, time::Duration};

use engine_api::{CacheEvent, LoadReport};
use errors::Result;
use routing::{AttemptOutcome, CrashRecord, EndpointNeed};
use tokio::sync::oneshot;
use types::EndpointName;
use utils::HashSet;

use super::granted_lease::GrantedLease;

/// Command to the scheduler's task.
#[derive(Debug)]
pub(super) enum Command {
    /// A request wants an endpoint.
    Acquire {
        /// What it needs.
        need: Box<EndpointNeed>,
        /// Gets the lease; closed once the request has gone.
        reply: oneshot::Sender<Result<GrantedLease>>,
    },
    /// The first token of an attempt arrived.
    FirstToken {
        /// Number of the lease.
        lease: u64,
        /// Time from sending the attempt.
        latency: Duration,
    },
    /// An attempt ended.
    Finish {
        /// Number of the lease.
        lease: u64,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// An engine reported its load; `None` where it did not answer.
    Report {
        /// Endpoint.
        endpoint: EndpointName,
        /// Report.
        report: Option<LoadReport>,
    },
    /// An engine told cache events.
    CacheEvents {
        /// Endpoint.
        endpoint: EndpointName,
        /// Events, oldest first.
        events: Vec<CacheEvent>,
        /// Whether some before them were lost.
        has_gap: bool,
    },
    /// The host list was read: the addresses of hosts that are leaving.
    LeavingHosts(HashSet<IpAddr>),
    /// Another router told of contents that crash endpoints.
    Crashes(Vec<CrashRecord>),
}
