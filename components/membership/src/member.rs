//! Members of the router fleet.

use std::net::SocketAddr;

use types::{ConfigVersion, FailureDomain, RouterId};

use crate::MemberState;

/// A router, as known to the other members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name and incarnation.
    pub id: RouterId,
    /// Failure domain of its host.
    pub failure_domain: FailureDomain,
    /// Address at which it serves callers.
    pub caller_address: SocketAddr,
    /// Address at which it receives messages from other routers.
    pub peer_address: SocketAddr,
    /// State according to the failure detector.
    pub state: MemberState,
    /// Number of requests in progress, as of its last heartbeat.
    pub load: u32,
    /// Version of the configuration that it uses, as of its last heartbeat.
    pub config_version: ConfigVersion,
}
