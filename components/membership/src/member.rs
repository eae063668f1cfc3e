//! Members.

use std::net::SocketAddr;

use types::{ConfigVersion, FailureDomain, RouterId};

use crate::MemberState;

/// A router as the others know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity.
    pub id: RouterId,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for the other routers.
    pub peer_address: SocketAddr,
    /// State.
    pub state: MemberState,
    /// Requests in progress, as of its last heartbeat.
    pub load: u32,
    /// Configuration in force on it, as of its last heartbeat.
    pub config_version: ConfigVersion,
}
