//! Nodes of the in-memory network.

use membership::Detector;
use types::{RouterId, Timestamp};

/// A node of the in-memory network.
#[derive(Debug)]
pub(super) struct Node {
    /// Identity of its router.
    pub(super) id: RouterId,
    /// Its failure detector.
    pub(super) detector: Detector,
    /// Whether it runs.
    pub(super) run: RunState,
    /// Messages that arrived while it was paused.
    pub(super) held: Vec<Vec<u8>>,
    /// When its next wakeup is scheduled.
    pub(super) wakeup: Timestamp,
    /// What it has sent and received.
    pub(super) traffic: NodeTraffic,
}

/// Whether a node runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// It runs.
    Running,
    /// It stands still; messages to it wait.
    Paused,
    /// It is dead.
    Dead,
}

/// What a node has sent and received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeTraffic {
    /// Messages sent.
    pub sent_messages: u64,
    /// Bytes of the frames sent.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Bytes of the frames received.
    pub received_bytes: u64,
}
