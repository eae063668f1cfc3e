//! Limits on the requests of callers.

use std::time::Duration;

/// Limits on the requests of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Timeout for receiving a request body.
    pub body_timeout: Duration,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            body_max_bytes: 16 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            head_timeout: Duration::from_secs(10),
        }
    }
}
