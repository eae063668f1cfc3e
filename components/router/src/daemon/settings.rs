//! Settings of a router.

use std::{net::SocketAddr, time::Duration};

use config::KeyHash;
use types::{FailureDomain, RouterName};

use super::HttpLimits;

/// Validated settings of a router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// Name of the router, the same across restarts.
    pub name: RouterName,
    /// Failure domain of the router's host.
    pub failure_domain: FailureDomain,
    /// Address that callers connect to; port 0 selects a free port.
    pub caller_address: SocketAddr,
    /// Address that other routers connect to; port 0 selects a free port.
    pub peer_address: SocketAddr,
    /// Peer addresses of some routers, used to join the membership.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's services.
    pub platform_address: SocketAddr,
    /// Maximum time until an answer of the platform begins, and between two pieces of it.
    pub platform_timeout: Duration,
    /// Limits on the requests of callers.
    pub http_limits: HttpLimits,
    /// Maximum duration of a graceful shutdown.
    pub drain_timeout: Duration,
    /// Pause within an endpoint's stream after which the request may go on at another endpoint.
    pub stream_idle_timeout: Duration,
    /// Number of threads that process requests.
    pub traffic_threads: usize,
    /// Hash of the key that has the admin role while the configuration has no operator.
    pub bootstrap_operator_key: Option<KeyHash>,
}
