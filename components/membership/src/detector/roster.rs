//! Table of the other members.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng as _, seq::SliceRandom as _};
use types::{RouterName, Timestamp};
use utils::Rng;

use crate::{MemberRecord, MemberStatus};

/// The other members, including dead ones.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// Members by name.
    entries: BTreeMap<RouterName, Entry>,
    /// Names of the members that are not dead, in the order in which they are probed.
    order: Vec<RouterName>,
    /// Index in `order` of the next member to probe.
    next_probe: usize,
    /// Member whose record was last sent in the rotation; `None` at the start of a round.
    last_refreshed: Option<RouterName>,
}

/// State that is kept for a member.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) record: MemberRecord,
    /// When it last answered a probe of this router.
    pub(super) answered_at: Option<Timestamp>,
    /// When it was declared dead; `None` while it is not.
    pub(super) died_at: Option<Timestamp>,
    /// When it was last notified of a record that declares it dead, or probed because of one.
    pub(super) notified_at: Option<Timestamp>,
}

impl Entry {
    /// Returns the record as it is sent at `now`.
    pub(super) fn record_at(&self, now: Timestamp) -> MemberRecord {
        let dead_for = self.died_at.map_or(Duration::ZERO, |died| now.since(died));
        MemberRecord { dead_for, ..self.record.clone() }
    }

    /// Reports whether the member answered a probe of this router within the last `span`.
    pub(super) fn answered_within(&self, span: Duration, now: Timestamp) -> bool {
        self.answered_at.is_some_and(|answered| now.since(answered) < span)
    }
}

impl Roster {
    /// Finds a member.
    pub(super) fn get(&self, name: &RouterName) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Finds a member. The caller must not change whether it is dead; [`Roster::upsert`]
    /// does that.
    pub(super) fn get_mut(&mut self, name: &RouterName) -> Option<&mut Entry> {
        self.entries.get_mut(name)
    }

    /// Returns all members, sorted by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the number of members that are not dead.
    pub(super) fn live_count(&self) -> usize {
        self.order.len()
    }

    /// Inserts or replaces the record of a member.
    pub(super) fn upsert(&mut self, record: MemberRecord, now: Timestamp, rng: &mut Rng) {
        let is_dead = record.status == MemberStatus::Dead;
        let name = record.id.name.clone();
        let was_live = self.entries.get(&name).is_some_and(|it| it.died_at.is_none());
        match (was_live, is_dead) {
            (true, true) => self.order.retain(|it| *it != name),
            (false, false) => {
                let index = rng.random_range(0..=self.order.len());
                self.order.insert(index, name.clone());
            }
            _ => {}
        }
        let same_process = self.entries.get(&name).filter(|it| it.record.id == record.id);
        let answered_at = same_process.and_then(|it| it.answered_at);
        let died_at = is_dead.then(|| now - record.dead_for);
        self.entries.insert(name, Entry { record, answered_at, died_at, notified_at: None });
    }

    /// Removes the members that have been dead for `span`.
    pub(super) fn purge_dead(&mut self, span: Duration, now: Timestamp) {
        self.entries.retain(|_, it| it.died_at.is_none_or(|died| now.since(died) < span));
    }

    /// Returns the next member to probe. Each is probed once before any is probed again.
    pub(super) fn next_to_probe(&mut self, rng: &mut Rng) -> Option<RouterName> {
        if self.next_probe >= self.order.len() {
            self.order.shuffle(rng);
            self.next_probe = 0;
        }
        let name = self.order.get(self.next_probe)?.clone();
        self.next_probe += 1;
        Some(name)
    }

    /// Returns up to `count` random members that are not dead, excluding `except`.
    pub(super) fn random_live(
        &self,
        count: usize,
        except: Option<&RouterName>,
        rng: &mut Rng,
    ) -> Vec<RouterName> {
        let drawn =
            rand::seq::index::sample(rng, self.order.len(), (count + 1).min(self.order.len()));
        let names = drawn.iter().map(|index| &self.order[index]);
        names.filter(|name| Some(*name) != except).take(count).cloned().collect()
    }

    /// Returns a random dead member.
    pub(super) fn random_dead(&self, rng: &mut Rng) -> Option<&Entry> {
        let dead_count = self.entries.len() - self.order.len();
        if dead_count == 0 {
            return None;
        }
        let index = rng.random_range(0..dead_count);
        self.entries.values().filter(|it| it.died_at.is_some()).nth(index)
    }

    /// Returns up to `count` members whose records are sent next in the rotation.
    pub(super) fn next_to_refresh(&mut self, count: usize) -> Vec<RouterName> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.last_refreshed.take().map_or(Unbounded, Excluded);
        let next = self.entries.range((after, Unbounded)).take(count);
        let names: Vec<_> = next.map(|(name, _)| name.clone()).collect();
        if names.len() == count {
            self.last_refreshed = names.last().cloned();
        }
        names
    }
}
