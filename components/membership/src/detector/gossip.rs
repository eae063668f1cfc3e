//! Queue of changes to be disseminated.

use types::RouterName;

/// Number of times a change is sent, per doubling of the number of members.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

/// Changes still to be disseminated, those sent least often first.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    /// Changed members, each at most once, ordered by transmissions.
    changes: Vec<Change>,
}

/// A change of a member's record.
#[derive(Debug)]
struct Change {
    /// Name of the member.
    name: RouterName,
    /// Number of times the change was sent.
    transmissions: u32,
}

impl GossipQueue {
    /// Adds a change of member `name`, which replaces an earlier change of this member.
    pub(super) fn push(&mut self, name: &RouterName) {
        self.changes.retain(|it| it.name != *name);
        self.changes.insert(0, Change { name: name.clone(), transmissions: 0 });
    }

    /// Reports whether there are no changes to send.
    pub(super) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Returns up to `count` changes for one message and counts them as sent. `members` is
    /// the size of the fleet, which determines how often a change is sent before it is dropped.
    pub(super) fn next_batch(&mut self, count: usize, members: usize) -> Vec<RouterName> {
        let doublings = usize::BITS - members.leading_zeros();
        let limit = TRANSMISSIONS_PER_DOUBLING * doublings.max(1);
        let count = count.min(self.changes.len());
        let mut names = Vec::with_capacity(count);
        for change in &mut self.changes[..count] {
            change.transmissions += 1;
            names.push(change.name.clone());
        }
        self.changes.retain(|it| it.transmissions < limit);
        self.changes.sort_by_key(|it| it.transmissions);
        names
    }
}

#[cfg(test)]
#[path = "gossip_tests.rs"]
mod tests;
