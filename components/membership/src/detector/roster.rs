//! The other members.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng as _, seq::SliceRandom as _};
use types::{RouterName, Timestamp};
use utils::Rng;

use crate::{MemberRecord, MemberStatus};

/// The other members, dead ones included.
#[derive(Debug, Default)]
pub(super) struct Roster {
    /// The members by name.
    entries: BTreeMap<RouterName, Entry>,
    /// Names of the members that are not dead, in the order in which they are probed.
    order: Vec<RouterName>,
    /// Place in `order` of the next member to probe.
    next_probe: usize,
    /// Name after which the next records are passed on in turn.
    refreshed: Option<RouterName>,
}

/// A member.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    /// Its record.
    pub(super) record: MemberRecord,
    /// When it last answered a probe of this router.
    pub(super) answered: Option<Timestamp>,
    /// When it was found dead.
    pub(super) died: Option<Timestamp>,
    /// When it was last told of a record that says that it is dead.
    pub(super) told: Option<Timestamp>,
}

impl Entry {
    /// Returns the record as it is passed on at `now`.
    pub(super) fn record_at(&self, now: Timestamp) -> MemberRecord {
        let dead_for = self.died.map_or(Duration::ZERO, |died| now.since(died));
        MemberRecord { dead_for, ..self.record.clone() }
    }

    /// Tells whether the member answered a probe of this router within `span`.
    pub(super) fn answered_within(&self, span: Duration, now: Timestamp) -> bool {
        self.answered.is_some_and(|answered| now.since(answered) < span)
    }
}

impl Roster {
    /// Finds a member.
    pub(super) fn get(&self, name: &RouterName) -> Option<&Entry> {
        self.entries.get(name)
    }

    /// Finds a member, to change what does not decide whether it is dead.
    pub(super) fn get_mut(&mut self, name: &RouterName) -> Option<&mut Entry> {
        self.entries.get_mut(name)
    }

    /// Returns all members, in the order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the number of members that are not dead.
    pub(super) fn live_count(&self) -> usize {
        self.order.len()
    }

    /// Inserts or replaces the record of a member.
    pub(super) fn put(&mut self, record: MemberRecord, now: Timestamp, rng: &mut Rng) {
        let is_dead = record.status == MemberStatus::Dead;
        let name = record.id.name.clone();
        let was_live = self.entries.get(&name).is_some_and(|it| it.died.is_none());
        match (was_live, is_dead) {
            (true, true) => self.order.retain(|it| *it != name),
            (false, false) => {
                let place = rng.random_range(0..=self.order.len());
                self.order.insert(place, name.clone());
            }
            _ => {}
        }
        let same_process = self.entries.get(&name).filter(|it| it.record.id == record.id);
        let answered = same_process.and_then(|it| it.answered);
        let died = is_dead.then(|| now - record.dead_for);
        self.entries.insert(name, Entry { record, answered, died, told: None });
    }

    /// Forgets the members that have been dead for `span`.
    pub(super) fn forget_dead(&mut self, span: Duration, now: Timestamp) {
        self.entries.retain(|_, it| it.died.is_none_or(|died| now.since(died) < span));
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

    /// Draws up to `count` members that are not dead, without `except`.
    pub(super) fn draw_live(
        &self,
        count: usize,
        except: Option<&RouterName>,
        rng: &mut Rng,
    ) -> Vec<RouterName> {
        let drawn =
            rand::seq::index::sample(rng, self.order.len(), (count + 1).min(self.order.len()));
        let names = drawn.iter().map(|place| &self.order[place]);
        names.filter(|name| Some(*name) != except).take(count).cloned().collect()
    }

    /// Draws a dead member.
    pub(super) fn draw_dead(&self, rng: &mut Rng) -> Option<&Entry> {
        let dead_count = self.entries.len() - self.order.len();
        if dead_count == 0 {
            return None;
        }
        let place = rng.random_range(0..dead_count);
        self.entries.values().filter(|it| it.died.is_some()).nth(place)
    }

    /// Returns the next `count` members whose records are passed on in turn.
    pub(super) fn next_to_refresh(&mut self, count: usize) -> Vec<RouterName> {
        use std::ops::Bound::{Excluded, Unbounded};
        let after = self.refreshed.take().map_or(Unbounded, Excluded);
        let next = self.entries.range((after, Unbounded)).take(count);
        let names: Vec<_> = next.map(|(name, _)| name.clone()).collect();
        if names.len() == count {
            self.refreshed = names.last().cloned();
        }
        names
    }
}
