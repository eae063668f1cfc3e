//! Settings of the relay.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::limits::RetryLimits;

/// Settings of the relay.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Name of this router; kept across restarts.
    pub name: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Processor that this host has, in thousandths of a core.
    pub processor_millis: u32,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address at which readiness is asked.
    pub ready_address: SocketAddr,
    /// Address at which callers ask for addresses.
    pub directory_address: SocketAddr,
    /// Address for messages of other routers, over UDP.
    pub peer_address: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_address: SocketAddr,
    /// Peer addresses of some other routers; they may be wrong.
    pub seeds: Vec<SocketAddr>,
    /// Limits on retries, for all routers together.
    pub retries: RetryLimits,
    /// Time between the request to end and the end of the process by force.
    pub shutdown_grace: Duration,
    /// Longest time for which callers may keep a list of addresses.
    pub addresses_max_age: Duration,
}
