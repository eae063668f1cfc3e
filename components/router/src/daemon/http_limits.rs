//! Limits on what callers send.

use std::time::Duration;

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Longest body, in bytes.
    pub body_max_bytes: usize,
    /// Longest time for a body to arrive.
    pub body_timeout: Duration,
    /// Longest time for the head of a request to arrive.
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
