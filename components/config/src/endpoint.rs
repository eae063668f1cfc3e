//! Endpoints.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::FailureDomain;

/// An endpoint: one process that serves models or a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Endpoint {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Whether it rejects orders and calls with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether operators have taken it out of service.
    #[serde(default)]
    pub leaving: bool,
}
