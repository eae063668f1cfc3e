//! State of the fleet as known to one router.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, EndpointName, FailureDomain, FencingNumber, RouterName};

/// Answer to `GET /admin/v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateView {
    /// State of the answering router.
    pub local: LocalState,
    /// All routers known to the answering router, itself first.
    pub routers: Vec<RouterView>,
    /// All endpoints of the configuration.
    pub endpoints: Vec<EndpointView>,
    /// State of the controller, which sends orders to engines; absent unless the answering
    /// router holds the controller lease.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<ControllerView>,
    /// Number of requests on the answering router that wait for an endpoint.
    pub waiting_requests: usize,
    /// Fingerprints of request contents that operators have quarantined.
    pub quarantine: Vec<String>,
    /// Request contents that routers have quarantined because endpoints were lost while running
    /// them.
    pub crashing: Vec<CrashingContent>,
}

/// State of the controller, which sends orders to engines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerView {
    /// Fencing number of the controller lease.
    pub fencing: FencingNumber,
    /// Descriptions of the rollout progress, one for each target version.
    pub progress: Vec<String>,
    /// Descriptions of halted rollouts.
    pub halted: Vec<String>,
    /// Descriptions of versions that an operator must unload by hand because their endpoint
    /// does not check fencing numbers.
    pub leftovers: Vec<String>,
}

/// State of the answering router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocalState {
    /// Name of the router.
    pub name: RouterName,
    /// Version of the configuration in force on the router.
    pub config_version: ConfigVersion,
    /// Accepted version in the table; absent if the table could not be read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_version: Option<ConfigVersion>,
    /// Time since the table last confirmed that no later version is accepted, in milliseconds;
    /// absent if it never did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub config_confirmed_age_ms: Option<u64>,
    /// Whether the last confirmation is recent enough for the router to treat its version as
    /// the accepted one.
    pub config_is_confirmed: bool,
}

/// State of a router as known to the answering router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouterView {
    /// Name of the router.
    pub name: RouterName,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub address: SocketAddr,
    /// Membership state: `alive`, `suspect`, `leaving` or `dead`.
    pub state: String,
    /// Number of requests in progress as of its last heartbeat.
    pub load: u32,
    /// Version of the configuration in force on it as of its last heartbeat.
    pub config_version: ConfigVersion,
}

/// Request content that routers have quarantined because endpoints were lost while running it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashingContent {
    /// Fingerprint of the content.
    pub fingerprint: String,
    /// Endpoints that were lost while running the content.
    pub endpoints: Vec<EndpointName>,
}

/// Endpoint of the configuration with its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointView {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Address of the endpoint.
    pub address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Whether operators have taken the endpoint out of service.
    pub leaving: bool,
    /// Whether the endpoint rejects orders and calls with an outdated fencing number.
    pub checks_fencing: bool,
    /// State as known to the answering router; absent if it does not use the endpoint.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// Number of requests of all routers in progress on the endpoint, as estimated by the
    /// answering router.
    pub requests: u32,
    /// Names of the models and services that the endpoint serves.
    pub serves: Vec<String>,
}
