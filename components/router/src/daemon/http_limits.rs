//! Limits on the requests of callers.

use std::time::Duration;

use inbound::{ConnectionLimits, HostShare};

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Memory that the process may use, in bytes. Limits on what clients make it hold are shares of it.
    pub memory_max_bytes: u64,
    /// Number of descriptors that the process may use; `None` if it is not limited.
    pub descriptors_max: Option<u32>,
}

impl HttpLimits {
    /// Returns the limits on the connections of a listener.
    pub(crate) fn connections(&self, share: HostShare) -> ConnectionLimits {
        ConnectionLimits::for_host(Some(self.memory_max_bytes), self.descriptors_max, share)
    }
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            body_max_bytes: 16 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            head_timeout: Duration::from_secs(10),
            memory_max_bytes: 2 * 1024 * 1024 * 1024,
            descriptors_max: None,
        }
    }
}
