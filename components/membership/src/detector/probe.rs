//! Probes in progress.

use std::net::SocketAddr;

use types::{RouterId, Timestamp};

/// Probe of a member that has not been answered yet.
#[derive(Debug)]
pub(super) struct Probe {
    pub(super) number: u64,
    /// Member that is probed.
    pub(super) target: RouterId,
    /// Whether the member was already suspected when the probe was sent.
    pub(super) is_retry: bool,
    /// When other members are asked to ping it; `None` once they were asked.
    pub(super) indirect_at: Option<Timestamp>,
    /// When the probe fails if it is not answered.
    pub(super) fails_at: Timestamp,
}

/// Ping that was sent on behalf of another router.
#[derive(Debug)]
pub(super) struct RelayedPing {
    /// Probe number of the ping on this router.
    pub(super) number: u64,
    /// Peer address of the router that requested the ping.
    pub(super) origin: SocketAddr,
    /// Probe number on that router.
    pub(super) origin_number: u64,
    /// When an answer is no longer forwarded.
    pub(super) ends_at: Timestamp,
}
