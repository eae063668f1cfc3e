//! The choice of endpoints, for operators.

use routing::{CrashRecord, EndpointStatus};

/// The choice of endpoints, for operators.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DispatchStatus {
    /// Endpoints that this router uses.
    pub endpoints: Vec<EndpointStatus>,
    /// Requests that wait for an endpoint.
    pub waiting: usize,
    /// Contents that the routers have quarantined, without the operators' own list.
    pub quarantined: Vec<CrashRecord>,
}
