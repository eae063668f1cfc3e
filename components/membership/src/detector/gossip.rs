//! Changes that are still to be passed on.

use types::RouterName;

/// Transmissions of a change, for each doubling of the number of members.
const TRANSMISSIONS_PER_DOUBLING: u32 = 2;

/// Changes that are still to be passed on, those passed on least first.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    /// The members that changed, each at most once, ordered by transmissions.
    changes: Vec<Change>,
}

/// A member that changed.
#[derive(Debug)]
struct Change {
    /// Name of the member.
    name: RouterName,
    /// How often the change was passed on.
    transmissions: u32,
}

impl GossipQueue {
    /// Adds a change of member `name`; an earlier one of it is replaced.
    pub(super) fn push(&mut self, name: &RouterName) {
        self.changes.retain(|it| it.name != *name);
        self.changes.insert(0, Change { name: name.clone(), transmissions: 0 });
    }

    /// Tells whether nothing is to be passed on.
    pub(super) fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Takes up to `count` changes for one message, in a fleet of `members`.
    pub(super) fn take(&mut self, count: usize, members: usize) -> Vec<RouterName> {
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
mod tests {
    use super::*;

    #[test]
    fn change_is_passed_on_a_limited_number_of_times() {
        let mut queue = GossipQueue::default();
        let name = RouterName::new("zlin-1").unwrap();
        queue.push(&name);
        queue.push(&name);
        let sent = (0..100).map(|_| queue.take(8, 8).len()).sum::<usize>();
        assert_eq!(sent, 8);
        assert!(queue.is_empty());
    }
}
