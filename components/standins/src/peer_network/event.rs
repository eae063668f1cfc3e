//! Events of the in-memory network.

use std::cmp::Ordering;

use types::Timestamp;

/// Event at one node.
#[derive(Debug)]
pub(super) struct Event {
    /// When it happens.
    pub(super) at: Timestamp,
    /// Order of events that happen at the same time.
    pub(super) order: u64,
    /// The node.
    pub(super) node: usize,
    /// An encoded message that arrives, or `None` where the node wakes up.
    pub(super) frame: Option<Vec<u8>>,
}

impl Event {
    fn key(&self) -> (Timestamp, u64) {
        (self.at, self.order)
    }
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    // Reversed, so that a heap yields the earliest event.
    fn cmp(&self, other: &Event) -> Ordering {
        other.key().cmp(&self.key())
    }
}
