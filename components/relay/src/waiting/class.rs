//! What decides the order of a waiting request.

use std::{sync::Arc, time::Duration};

use types::Timestamp;

/// What decides the order of a waiting request, and when it is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingClass {
    /// Level of urgency; 0 is the most urgent.
    pub level: u32,
    /// Client account; empty for requests without one.
    pub account: Arc<str>,
    /// Route that matches the request.
    pub route: Arc<str>,
    /// Whether the answer is a stream.
    pub is_stream: bool,
    /// Work that the request asks for, in tokens.
    pub cost: u64,
    /// When the request arrived.
    pub received_at: Timestamp,
    /// Target for the time to the answer, or to the first event of a stream.
    pub latency_target: Duration,
    /// When the caller stops waiting.
    pub deadline: Timestamp,
}
