//! State of the dispatcher, for operators.

use routing::{CrashRecord, EndpointStatus};

/// State of the dispatcher, for operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DispatchStatus {
    /// Endpoints that this router uses.
    pub endpoints: Vec<EndpointStatus>,
    /// Number of requests that wait for an endpoint.
    pub waiting: usize,
    /// Contents that the routers have quarantined, without those listed by operators.
    pub quarantined: Vec<CrashRecord>,
}
