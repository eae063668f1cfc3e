//! Entries of endpoints in the platform's list.

use std::{net::SocketAddr, sync::Arc};

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes new work.
    Ready,
    /// It is about to leave and takes no new work.
    Leaving,
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Id of the process; another process at the same address has another one.
    pub id: Arc<str>,
    /// Start of the process, in milliseconds of Unix time; tells two processes with the
    /// same id apart.
    pub started_at_ms: u64,
    /// Service that it serves.
    pub service: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that it runs at a time.
    pub capacity: u32,
    /// Whether it takes new work.
    pub phase: EndpointPhase,
}
