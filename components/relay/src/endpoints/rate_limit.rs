//! Limit on the rate of requests that an endpoint states in its answers.

use types::Timestamp;

/// What an answer says about the rate of requests that the endpoint accepts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateStatement {
    /// The endpoint states no limit.
    Unlimited,
    /// Requests per second that it accepts from all routers together; finite and not negative.
    PerSecond(f64),
    /// The statement cannot be read; it neither sets nor ends a limit.
    Malformed,
}

/// A rate limit that an endpoint states.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct RateLimit {
    /// Requests per second that the endpoint accepts from all routers together.
    pub(super) per_s: f64,
    /// When an answer with this statement last arrived.
    pub(super) stated_at: Timestamp,
}
