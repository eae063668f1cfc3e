//! Settings of a router.

use std::{net::SocketAddr, time::Duration};

use config::KeyHash;
use types::{FailureDomain, RouterName};

use super::HttpLimits;

/// Settings of a router, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouterSettings {
    /// Name, kept across restarts.
    pub name: RouterName,
    /// Failure domain of the host.
    pub failure_domain: FailureDomain,
    /// Address for callers; port 0 picks a free one.
    pub caller_address: SocketAddr,
    /// Address for the other routers; port 0 picks a free one.
    pub peer_address: SocketAddr,
    /// Peer addresses of some other routers.
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Longest time of a call to the platform.
    pub platform_timeout: Duration,
    /// Limits on what callers send.
    pub http_limits: HttpLimits,
    /// Longest time of a graceful shutdown.
    pub drain_timeout: Duration,
    /// Threads that carry traffic.
    pub traffic_threads: usize,
    /// Hash of the key that counts as an admin's while the configuration has no operator.
    pub bootstrap_operator_key: Option<KeyHash>,
}
