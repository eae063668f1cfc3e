//! Leases on endpoints.

use std::net::SocketAddr;

use types::{EndpointName, FailureDomain, ModelVersion};

/// Permission to send one attempt to an endpoint. Must be released exactly once with
/// [`Scheduler::finish`](crate::Scheduler::finish).
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a lease must be released"]
pub struct EndpointLease {
    /// Identifier of the lease, unique within its scheduler.
    pub id: u64,
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointName,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: FailureDomain,
    /// Model version that serves the request; `None` for a service.
    pub version: Option<ModelVersion>,
}
