//! Events of the simulation and the order in which they happen.

use std::cmp::Ordering;

use budget::{CallId, Event};
use platform::{Commit, Key};
use types::Timestamp;

/// An event of the simulation and the time at which it happens.
pub(crate) struct ScheduledEvent {
    /// Time at which the event happens.
    pub(crate) due: Timestamp,
    /// Order among the events that happen at the same time.
    pub(crate) sequence: u64,
    pub(crate) event: SimulationEvent,
}

/// An event of the simulation.
pub(crate) enum SimulationEvent {
    /// An event for the ledger of a router. Dropped if the router has another incarnation by then.
    Ledger { router: usize, incarnation: u64, event: Event },
    /// A read that arrives at the table.
    Read { router: usize, incarnation: u64, call: CallId, keys: Vec<Key> },
    /// A commit that arrives at the table.
    Commit { router: usize, incarnation: u64, call: CallId, commit: Commit },
    /// A commit that reaches the table after its outcome was reported as unknown.
    LateCommit { commit: Commit },
    /// A tick of a router's clock.
    Tick { router: usize, incarnation: u64 },
    /// An update of a router's list of live peers.
    PeerUpdate { router: usize },
    /// The expiry of a timer that was set with [`Fleet::set_timer`](crate::Fleet::set_timer).
    Timer(u64),
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    /// Reversed, so that a max-heap pops the earliest event first.
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (other.due, other.sequence).cmp(&(self.due, self.sequence))
    }
}
