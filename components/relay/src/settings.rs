//! Settings that the relay is started with.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use utils::HashMap;

use crate::limits::RetryLimits;

/// What the host allows the process to use.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct HostLimits {
    /// Bandwidth of the host's link, in bytes per second; `None` if it is not stated.
    pub link_bytes_per_s: Option<f64>,
    /// Memory, in bytes; `None` if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Number of file descriptors; `None` if it is not limited.
    pub descriptors: Option<u32>,
}

/// Limits on the requests that all routers together send to a cold endpoint within a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdBounds {
    /// Multiple of the rate that the service states.
    pub overage: f64,
    /// Number of requests on top of that.
    pub allowance: f64,
}

/// Areas, each of which consists of failure domains. Routes and accounts may be restricted to
/// areas.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Areas {
    /// Area of this host; `None` if it is not stated.
    pub own: Option<Arc<str>>,
    /// Area of each failure domain.
    pub by_domain: HashMap<Arc<str>, Arc<str>>,
}

/// Settings of a relay process.
#[derive(Debug, Clone, PartialEq)]
pub struct RelaySettings {
    /// Name of this router, kept across restarts.
    pub name: Arc<str>,
    /// Failure domain of this host.
    pub failure_domain: Arc<str>,
    /// Areas of the fleet.
    pub areas: Areas,
    /// Processor capacity of this host, in thousandths of a core.
    pub processor_millis: u32,
    /// Other limits of this host.
    pub host_limits: HostLimits,
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
    /// Limits on requests to cold endpoints; `None` if endpoints need no warming up.
    pub cold_bounds: Option<ColdBounds>,
    /// Whether callers and endpoints may read so slowly that what is held for them has to be
    /// bounded.
    pub has_slow_readers: bool,
    /// Time from the request to shut down until the process is killed.
    pub shutdown_grace: Duration,
    /// Maximum time for which callers may cache a list of addresses.
    pub addresses_max_age: Duration,
}
