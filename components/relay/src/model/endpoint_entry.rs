//! Entries in the platform's list of endpoints.

use std::{net::SocketAddr, sync::Arc, time::Duration};

/// Lifecycle phase of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint is shutting down and accepts no new requests.
    Leaving,
}

/// What an endpoint publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Id of the endpoint; another endpoint at the same address has a different one.
    pub id: Arc<str>,
    /// Start time of the process, in milliseconds since the Unix epoch; distinguishes two
    /// processes with the same id.
    pub started_at_ms: u64,
    /// Version of the endpoint's software.
    pub version: Arc<str>,
    /// Name of the service that the endpoint runs.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Failure domain that the endpoint runs in.
    pub failure_domain: Arc<str>,
    /// Maximum number of requests that the endpoint runs at a time.
    pub capacity: u32,
    /// Whether the endpoint accepts new requests.
    pub phase: EndpointPhase,
    /// Time for which the endpoint takes few requests because it has just started; `None` if its entry does
    /// not say it.
    pub cold_remaining: Option<Duration>,
}
