//! What is under way between routers and the table.

use std::cmp::Ordering;

use budget::{CallId, Event};
use platform::{Commit, Key};
use types::Timestamp;

/// What is under way, and when it arrives.
pub(crate) struct Carried {
    /// When it arrives.
    pub(crate) due: Timestamp,
    /// Order among those that arrive at one time.
    pub(crate) number: u64,
    /// What it is.
    pub(crate) item: Item,
}

/// What is under way.
pub(crate) enum Item {
    /// An event for start `start` of router `router`.
    Event { router: usize, start: u64, event: Event },
    /// A read on its way to the table.
    Read { router: usize, start: u64, call: CallId, keys: Vec<Key> },
    /// A commit on its way to the table.
    Commit { router: usize, start: u64, call: CallId, commit: Commit },
    /// A commit whose sender has been told that its outcome is unknown.
    LateCommit { commit: Commit },
    /// The clock of a router.
    Tick { router: usize, start: u64 },
    /// A router learns anew who is alive.
    View { router: usize },
    /// A mark of the user of the fleet.
    Timer(u64),
}

impl PartialEq for Carried {
    fn eq(&self, other: &Carried) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Carried {}

impl PartialOrd for Carried {
    fn partial_cmp(&self, other: &Carried) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Carried {
    /// The earliest is the greatest, for a max-heap.
    fn cmp(&self, other: &Carried) -> Ordering {
        (other.due, other.number).cmp(&(self.due, self.number))
    }
}
