//! Events of the simulated network.

use std::cmp::Ordering;

use types::Timestamp;

/// Event that happens at one node.
#[derive(Debug)]
pub(super) struct Event {
    /// Time of the event.
    pub(super) at: Timestamp,
    /// Order among events that happen at the same time.
    pub(super) order: u64,
    /// Index of the node.
    pub(super) node: usize,
    /// Encoded message that arrives; `None` for a wakeup of the node.
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
    // Reversed, so that a max-heap pops the earliest event first.
    fn cmp(&self, other: &Event) -> Ordering {
        other.key().cmp(&self.key())
    }
}
