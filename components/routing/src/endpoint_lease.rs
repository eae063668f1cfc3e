//! Places on endpoints.

use std::net::SocketAddr;

use types::{EndpointName, FailureDomain, ModelVersion};

/// A place on an endpoint for one attempt. To be given back with
/// the dispatcher, exactly once.
#[derive(Debug, Clone, PartialEq, Eq)]
#[must_use = "a lease is to be given back"]
pub struct EndpointLease {
    /// Number of the lease on its router.
    pub id: u64,
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Version of the model that is to serve, for a model.
    pub version: Option<ModelVersion>,
}
