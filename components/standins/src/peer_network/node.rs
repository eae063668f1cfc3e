//! Nodes of the simulated network.

use membership::Detector;
use types::{RouterId, Timestamp};

/// A node of the simulated network.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) id: RouterId,
    pub(super) detector: Detector,
    pub(super) run: RunState,
    /// Encoded messages that arrived while the node was paused.
    pub(super) missed_frames: Vec<Vec<u8>>,
    /// Time of the next scheduled wakeup.
    pub(super) wakeup: Timestamp,
    pub(super) traffic: NodeTraffic,
}

/// Run state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    /// The node sends and receives messages.
    Running,
    /// The node does nothing; messages to it are kept until it resumes.
    Paused,
    /// The process of the node has ended; messages to it are lost.
    Dead,
}

/// Messages and bytes that a node has sent and received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeTraffic {
    /// Messages sent, including those that were lost.
    pub sent_messages: u64,
    /// Size of the frames sent, in bytes.
    pub sent_bytes: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Size of the frames received, in bytes.
    pub received_bytes: u64,
}
