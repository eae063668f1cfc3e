//! State of the fleet as one router knows it.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, EndpointName, FailureDomain, FencingNumber, RouterName};

/// Answer to `GET /admin/v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateView {
    /// The router that answers.
    pub local: LocalState,
    /// All routers that it knows, itself first.
    pub routers: Vec<RouterView>,
    /// Configured endpoints.
    pub endpoints: Vec<EndpointView>,
    /// State of the controller of orders to engines, where the answering router holds
    /// its lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<ControllerView>,
    /// Requests that wait for an endpoint on the answering router.
    pub waiting_requests: usize,
    /// Content fingerprints that operators have quarantined.
    pub quarantine: Vec<String>,
    /// Contents that routers have quarantined, because endpoints were lost while they ran.
    pub crashing: Vec<CrashingContent>,
}

/// State of the controller of orders to engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerView {
    /// Fencing number of its lease.
    pub fencing: FencingNumber,
    /// Progress of each version that is to be served, in words.
    pub progress: Vec<String>,
    /// Halted rollouts, in words.
    pub halted: Vec<String>,
    /// Versions that an operator has to unload by hand, because their endpoint does not
    /// check fencing numbers.
    pub leftovers: Vec<String>,
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

/// Content that routers have quarantined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashingContent {
    /// Content fingerprint.
    pub fingerprint: String,
    /// Endpoints that were lost while it ran.
    pub endpoints: Vec<EndpointName>,
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
    /// State as the answering router sees it; absent where it does not use the endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// Requests in progress on it, of all routers, as the answering one estimates.
    pub requests: u32,
    /// Models and services that it serves.
    pub serves: Vec<String>,
}
