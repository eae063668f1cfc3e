//! Settings that the relay is started with.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::limits::RetryLimits;

/// Settings of a relay process.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Name of this router, kept across restarts.
    pub name: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Processor capacity of this host, in thousandths of a core.
    pub processor_millis: u32,
    /// Address that serves callers' requests.
    pub caller_address: SocketAddr,
    /// Address that answers readiness checks.
    pub ready_address: SocketAddr,
    /// Address that serves the list of router addresses to callers.
    pub directory_address: SocketAddr,
    /// UDP address for messages between routers.
    pub peer_address: SocketAddr,
    /// Address that serves the metrics.
    pub metrics_address: SocketAddr,
    /// Peer addresses of some other routers; some may be wrong.
    pub seeds: Vec<SocketAddr>,
    /// Limits on retries, for the whole fleet together.
    pub retries: RetryLimits,
    /// Time from the request to shut down until the process is killed.
    pub shutdown_grace: Duration,
    /// Maximum time for which callers may cache a list of addresses.
    pub addresses_max_age: Duration,
}
