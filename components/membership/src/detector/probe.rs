//! Probes in progress.

use std::net::SocketAddr;

use types::{RouterId, Timestamp};

/// Probe of a member, waiting for its answer.
#[derive(Debug)]
pub(super) struct Probe {
    /// Number of the probe.
    pub(super) number: u64,
    /// The member that is probed.
    pub(super) target: RouterId,
    /// Whether the member was suspected already when the probe began.
    pub(super) is_retry: bool,
    /// When others are asked to ping it; `None` once they were.
    pub(super) indirect_at: Option<Timestamp>,
    /// When the probe has failed.
    pub(super) fails_at: Timestamp,
}

/// Ping in place of another router.
#[derive(Debug)]
pub(super) struct Relay {
    /// Number of the ping.
    pub(super) number: u64,
    /// Peer address of the router that asked.
    pub(super) origin: SocketAddr,
    /// Number of its probe.
    pub(super) origin_number: u64,
    /// When the answer is of no more use.
    pub(super) ends_at: Timestamp,
}
