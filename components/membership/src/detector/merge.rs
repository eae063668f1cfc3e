//! Merges of records that others passed on.

use std::{cmp::Ordering, net::SocketAddr};

use types::{RouterName, Timestamp};
use utils::Rng;

use super::roster::Entry;
use crate::{Action, Detector, MemberRecord, MemberStatus, MessageKind};

/// What a record of a known member means to this router.
enum Verdict {
    /// It says nothing new.
    Ignore,
    /// It replaces what is known.
    Accept,
    /// It contradicts what this router knows better; the member is told of it.
    TellMember,
    /// It is older than what is known, but the member may be dead nevertheless.
    ProbeMember,
}

impl Detector {
    /// Merges a record that another router passed on.
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
        } else if record.dead_for < self.settings.keep_dead {
            // Remembered, so that an older record does not bring it back.
            self.roster.put(record, now, rng);
        }
    }

    fn merge_same_process(
        &mut self,
        mut record: MemberRecord,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        self.merge_figures(&record, actions);
        let name = record.id.name.clone();
        let Some(known) = self.roster.get(&name) else { return };
        let verdict = self.judge(known, &record, now);
        record.is_leaving |= known.record.is_leaving;
        if record.heartbeat < known.record.heartbeat {
            record.heartbeat = known.record.heartbeat;
            record.load = known.record.load;
            record.config_version = known.record.config_version;
        }
        match verdict {
            Verdict::Ignore => {}
            Verdict::Accept => self.accept(record, now, rng, actions),
            Verdict::TellMember => self.tell_member(record, now, actions),
            Verdict::ProbeMember => self.probe_accused(&name, now, actions),
        }
    }

    /// Takes over what does not depend on whether the member is alive.
    fn merge_figures(&mut self, record: &MemberRecord, actions: &mut Vec<Action>) {
        let name = record.id.name.clone();
        let Some(known) = self.roster.get_mut(&name) else { return };
        let known = &mut known.record;
        if record.heartbeat > known.heartbeat {
            known.heartbeat = record.heartbeat;
            let figures = (record.load, record.config_version);
            self.is_changed |= (known.load, known.config_version) != figures;
            (known.load, known.config_version) = figures;
        }
        if record.is_leaving && !known.is_leaving {
            known.is_leaving = true;
            let (id, state) = (known.id.clone(), known.state());
            actions.push(Action::MemberChanged { id, state });
            self.is_changed = true;
            self.gossip.push(&name);
        }
    }

    /// Judges a record of the process that is known under its name.
    fn judge(&self, known: &Entry, record: &MemberRecord, now: Timestamp) -> Verdict {
        if record.precedence() <= known.record.precedence() {
            let is_late_death = record.status == MemberStatus::Dead && known.died.is_none();
            return if is_late_death { Verdict::ProbeMember } else { Verdict::Ignore };
        }
        let evidence_span = self.settings.suspicion_timeout;
        match record.status {
            MemberStatus::Alive => Verdict::Accept,
            MemberStatus::Suspect | MemberStatus::Dead
                if known.answered_within(evidence_span, now) && known.died.is_none() =>
            {
                Verdict::Ignore
            }
            MemberStatus::Suspect => Verdict::Accept,
            // An old death of a member that is known as alive comes from beyond a
            // partition that has healed.
            MemberStatus::Dead
                if record.dead_for >= self.settings.fresh_death && known.died.is_none() =>
            {
                Verdict::TellMember
            }
            MemberStatus::Dead => Verdict::Accept,
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
        let was_dead = self.roster.get(&name).is_some_and(|it| it.died.is_some());
        let is_back = was_dead && record.status != MemberStatus::Dead;
        self.put(record, now, rng, actions);
        self.gossip.push(&name);
        if is_back {
            // The refutation may be older than the death.
            self.start_probe(&name, now, actions);
        }
    }

    /// Puts a record into the roster and notes the change of its state.
    pub(super) fn put(
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
        self.roster.put(record, now, rng);
        self.is_changed = true;
    }

    fn tell_member(&mut self, record: MemberRecord, now: Timestamp, actions: &mut Vec<Action>) {
        let Some(to) = self.note_told(&record.id.name, now) else { return };
        let number = self.begin_probe(&record.id, now);
        let message = self.message(MessageKind::Ping { probe: number }, vec![record]);
        actions.push(Action::send(to, message));
    }

    /// Probes a member whose death was reported although it has refuted that suspicion:
    /// it may have died just after. Others learn of the refutation.
    fn probe_accused(&mut self, name: &RouterName, now: Timestamp, actions: &mut Vec<Action>) {
        if self.suspicions.contains_key(name) || self.note_told(name, now).is_none() {
            return;
        }
        self.gossip.push(name);
        self.start_probe(name, now, actions);
    }

    /// Notes that a member is told of its death, or probed for it, unless it was just now.
    fn note_told(&mut self, name: &RouterName, now: Timestamp) -> Option<SocketAddr> {
        let period = self.settings.contact_period;
        let entry = self.roster.get_mut(name)?;
        if entry.told.is_some_and(|told| now.since(told) < period) {
            return None;
        }
        entry.told = Some(now);
        Some(entry.record.peer_address)
    }
}
