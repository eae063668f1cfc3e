//! Connections of clients, by listener, and what each listener may use of the host.
//!
//! About a sixth of the descriptors is left for connections to endpoints, the store and other routers, beside
//! those that tunnels take.

use inbound::{ConnectionBook, ConnectionLimits, HostShare};

use crate::settings::HostLimits;

// Percentages of the whole; callers have most connections, metrics are read by few clients.
const CALLERS: HostShare = HostShare { descriptor_percent: 50, memory_percent: 80 };
const DIRECTORY: HostShare = HostShare { descriptor_percent: 12, memory_percent: 12 };
const READY: HostShare = HostShare { descriptor_percent: 3, memory_percent: 4 };
const METRICS: HostShare = HostShare { descriptor_percent: 2, memory_percent: 4 };

/// Connections of the clients of each listener.
#[derive(Debug)]
pub(crate) struct ClientConnections {
    /// Connections of callers.
    pub(crate) callers: ConnectionBook,
    /// Connections for requests for router addresses.
    pub(crate) directory: ConnectionBook,
    /// Connections for readiness checks.
    pub(crate) ready: ConnectionBook,
    /// Connections for metrics.
    pub(crate) metrics: ConnectionBook,
}

impl ClientConnections {
    /// Creates the books of a process on a host with these limits.
    pub(crate) fn new(host: HostLimits) -> ClientConnections {
        let book = |listener, share| {
            let limits = ConnectionLimits::for_host(host.memory_bytes, host.descriptors, share);
            ConnectionBook::new(listener, limits)
        };
        ClientConnections {
            callers: book("callers", CALLERS),
            directory: book("directory", DIRECTORY),
            ready: book("ready", READY),
            metrics: book("metrics", METRICS),
        }
    }

    /// Returns the books of all listeners.
    pub(crate) fn all(&self) -> [&ConnectionBook; 4] {
        [&self.callers, &self.directory, &self.ready, &self.metrics]
    }
}
