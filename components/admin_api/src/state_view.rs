//! State of the fleet as one router knows it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, EndpointName, FailureDomain, RouterName};

/// Answer to `GET /admin/v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateView {
    /// The router that answers.
    pub local: LocalState,
    /// All routers that it knows, itself first.
    pub routers: Vec<RouterView>,
    /// Configured endpoints.
    pub endpoints: Vec<EndpointView>,
    /// Content fingerprints that operators have quarantined.
    pub quarantine: Vec<String>,
}

/// State of the router that answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalState {
    /// Name.
    pub name: RouterName,
    /// Version of the configuration in force on it.
    pub config_version: ConfigVersion,
    /// Accepted version in the table; absent where the table could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_version: Option<ConfigVersion>,
    /// Time since the table confirmed that no later version is accepted, in
    /// milliseconds; absent where it never did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_confirmed_age_ms: Option<u64>,
    /// Whether the router can say that its version is the accepted one.
    pub config_is_confirmed: bool,
}

/// A router as the answering one knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterView {
    /// Name.
    pub name: RouterName,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub address: SocketAddr,
    /// State: `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Requests in progress, as of its last heartbeat.
    pub load: u32,
    /// Configuration in force on it, as of its last heartbeat.
    pub config_version: ConfigVersion,
}

/// A configured endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Name.
    pub name: EndpointName,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Whether operators have taken it out of service.
    pub leaving: bool,
    /// Whether it checks fencing numbers.
    pub checks_fencing: bool,
    /// Models and services that it serves.
    pub serves: Vec<String>,
}
