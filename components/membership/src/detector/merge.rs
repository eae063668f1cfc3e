//! Merging of records received from other routers.

use std::{cmp::Ordering, net::SocketAddr};

use types::{RouterName, Timestamp};
use utils::Rng;

use super::roster::Entry;
use crate::{Action, Detector, MemberRecord, MemberStatus, MessageKind};

/// How to handle a received record of a known member.
enum MergeDecision {
    /// The record is not newer, or contradicts a recent answer of the member to this router:
    /// ignore it.
    Ignore,
    /// The record replaces the known one.
    Accept,
    /// The record says that a member known as live was declared dead some time ago: send it to
    /// the member, which can refute it.
    NotifyMember,
    /// The record declares the member dead but is not newer than the known one: probe the
    /// member, which may be dead nevertheless.
    ProbeMember,
}

impl Detector {
    /// Merges a record received from another router.
    pub(super) fn merge(
        &mut self,
        record: MemberRecord,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        if record.id.name == self.local.id.name {
            self.refute(&record);
            return;
        }
        let Some(known) = self.roster.get(&record.id.name) else {
            self.merge_unknown(record, now, rng, actions);
            return;
        };
        match record.id.incarnation.cmp(&known.record.id.incarnation) {
            Ordering::Less => {}
            Ordering::Greater => self.accept(record, now, rng, actions),
            Ordering::Equal => self.merge_same_process(record, now, rng, actions),
        }
    }

    fn merge_unknown(
        &mut self,
        record: MemberRecord,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        if record.status != MemberStatus::Dead {
            self.accept(record, now, rng, actions);
        } else if record.dead_for < self.settings.dead_retention {
            // Kept, so that an older record does not bring the member back as alive.
            self.roster.upsert(record, now, rng);
        }
    }

    fn merge_same_process(
        &mut self,
        mut record: MemberRecord,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        self.merge_load_and_config_version(&record, actions);
        let name = record.id.name.clone();
        let Some(known) = self.roster.get(&name) else { return };
        let decision = self.assess(known, &record, now);
        record.is_leaving |= known.record.is_leaving;
        if record.heartbeat < known.record.heartbeat {
            record.heartbeat = known.record.heartbeat;
            record.load = known.record.load;
            record.config_version = known.record.config_version;
        }
        match decision {
            MergeDecision::Ignore => {}
            MergeDecision::Accept => self.accept(record, now, rng, actions),
            MergeDecision::NotifyMember => self.notify_member(record, now, actions),
            MergeDecision::ProbeMember => self.probe_reported_dead(&name, now, actions),
        }
    }

    /// Merges the fields that do not depend on liveness: load, configuration version and
    /// whether the member is leaving.
    fn merge_load_and_config_version(&mut self, record: &MemberRecord, actions: &mut Vec<Action>) {
        let name = record.id.name.clone();
        let Some(known) = self.roster.get_mut(&name) else { return };
        let known = &mut known.record;
        if record.heartbeat > known.heartbeat {
            known.heartbeat = record.heartbeat;
            let values = (record.load, record.config_version);
            self.is_changed |= (known.load, known.config_version) != values;
            (known.load, known.config_version) = values;
        }
        if record.is_leaving && !known.is_leaving {
            known.is_leaving = true;
            let (id, state) = (known.id.clone(), known.state());
            actions.push(Action::MemberChanged { id, state });
            self.is_changed = true;
            self.gossip.push(&name);
        }
    }

    /// Decides how to handle a record of the same incarnation as the known one.
    fn assess(&self, known: &Entry, record: &MemberRecord, now: Timestamp) -> MergeDecision {
        if record.precedence() <= known.record.precedence() {
            let is_refuted_death = record.status == MemberStatus::Dead && known.died_at.is_none();
            return if is_refuted_death {
                MergeDecision::ProbeMember
            } else {
                MergeDecision::Ignore
            };
        }
        let evidence_span = self.settings.suspicion_timeout;
        match record.status {
            MemberStatus::Alive => MergeDecision::Accept,
            MemberStatus::Suspect | MemberStatus::Dead
                if known.answered_within(evidence_span, now) && known.died_at.is_none() =>
            {
                MergeDecision::Ignore
            }
            MemberStatus::Suspect => MergeDecision::Accept,
            // The member was declared dead some time ago on the other side of a network
            // partition that has healed.
            MemberStatus::Dead
                if record.dead_for >= self.settings.recent_death_age && known.died_at.is_none() =>
            {
                MergeDecision::NotifyMember
            }
            MemberStatus::Dead => MergeDecision::Accept,
        }
    }

    fn accept(
        &mut self,
        record: MemberRecord,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let name = record.id.name.clone();
        if record.status != MemberStatus::Suspect {
            self.suspicions.remove(&name);
        }
        let was_dead = self.roster.get(&name).is_some_and(|it| it.died_at.is_some());
        let is_back = was_dead && record.status != MemberStatus::Dead;
        self.upsert(record, now, rng, actions);
        self.gossip.push(&name);
        if is_back {
            // The member may have died after it sent the refutation.
            self.start_probe(&name, now, actions);
        }
    }

    /// Stores a record in the roster and reports a change of the member's state.
    pub(super) fn upsert(
        &mut self,
        record: MemberRecord,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let known = self.roster.get(&record.id.name).map(|it| &it.record);
        let before = known.map(|it| (it.id.incarnation, it.state()));
        if before != Some((record.id.incarnation, record.state())) {
            let (id, state) = (record.id.clone(), record.state());
            actions.push(Action::MemberChanged { id, state });
        }
        self.roster.upsert(record, now, rng);
        self.is_changed = true;
    }

    fn notify_member(&mut self, record: MemberRecord, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(to) = self.begin_notification(&record.id.name, now) else { return };
        let number = self.register_probe(&record.id, now);
        let message = self.message(MessageKind::Ping { probe: number }, vec![record]);
        actions.push(Action::send(to, message));
    }

    /// Probes a member that is reported dead although it refuted the suspicion: it may have
    /// died afterwards. Also disseminates the refutation.
    fn probe_reported_dead(
        &mut self,
        name: &RouterName,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.suspicions.contains_key(name) || self.begin_notification(name, now).is_none() {
            return;
        }
        self.gossip.push(name);
        self.start_probe(name, now, actions);
    }

    /// Records that a member is notified of its reported death, or probed because of it, and
    /// returns its peer address. Returns `None` if that already happened within the contact
    /// period.
    fn begin_notification(&mut self, name: &RouterName, now: Timestamp) -> Option<SocketAddr> {
        let period = self.settings.contact_period;
        let entry = self.roster.get_mut(name)?;
        if entry.notified_at.is_some_and(|at| now.since(at) < period) {
            return None;
        }
        entry.notified_at = Some(now);
        Some(entry.record.peer_address)
    }
}
