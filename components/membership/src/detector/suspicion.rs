//! Probes and suspicions: from an unanswered ping to declaring a member dead.

use std::time::Duration;

use types::{RouterId, RouterName, Timestamp};
use utils::Rng;

use super::probe::Probe;
use crate::{Action, Detector, DetectorSettings, MemberStatus, MessageKind};

/// Maximum number of suspected members that are probed again in one wakeup.
const SUSPECTS_PROBED_MAX: usize = 4;

/// Consecutive failed probes of members not yet suspected from which this router assumes
/// that it is itself isolated. It then queues neither its suspicions nor the resulting deaths
/// for dissemination.
const ISOLATION_FAILURES: usize = 3;

/// Suspicion of a member, raised by this router's own probes.
#[derive(Debug)]
pub(super) struct Suspicion {
    /// When the member is declared dead.
    ends_at: Timestamp,
    /// When the member is probed again.
    retry_at: Timestamp,
}

impl Suspicion {
    fn new(settings: &DetectorSettings, now: Timestamp) -> Suspicion {
        Suspicion { ends_at: now + settings.suspicion_timeout, retry_at: now }
    }

    /// Restarts the time that the member has to refute the suspicion.
    pub(super) fn extend(&mut self, settings: &DetectorSettings, now: Timestamp) {
        self.ends_at = now + settings.suspicion_timeout;
    }

    /// Returns when the member must be probed again or declared dead.
    pub(super) fn next_wakeup(&self) -> Timestamp {
        self.ends_at.min(self.retry_at)
    }
}

impl Detector {
    /// Returns the time to the next probe. It is half the period while probes fail, so that
    /// a router detects in time that many members have died together.
    pub(super) fn probe_period(&self) -> Duration {
        let period = self.settings.probe_period;
        if self.consecutive_failures > 0 { period / 2 } else { period }
    }

    /// Probes the next member for which this router has no suspicion. Suspected members are
    /// probed by [`process_due_suspicions`](Detector::process_due_suspicions).
    pub(super) fn probe_next(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<Action>) {
        for _ in 0..self.roster.live_count() {
            let Some(target) = self.roster.next_to_probe(rng) else { return };
            if !self.suspicions.contains_key(&target) {
                return self.start_probe(&target, now, actions);
            }
        }
    }

    /// Probes member `name`.
    pub(super) fn start_probe(
        &mut self,
        name: &RouterName,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let Some(record) = self.roster.get(name).map(|it| it.record.clone()) else { return };
        let number = self.register_probe(&record.id, now);
        let kind = MessageKind::Ping { probe: number };
        self.send_to(name, record.peer_address, kind, now, actions);
    }

    /// Registers a probe of `target` that is about to be sent and returns its number.
    pub(super) fn register_probe(&mut self, target: &RouterId, now: Timestamp) -> u64 {
        let number = self.allocate_probe_number();
        self.probes.push(Probe {
            number,
            target: target.clone(),
            is_retry: false,
            indirect_at: Some(now + self.settings.direct_timeout),
            fails_at: now + self.settings.probe_timeout,
        });
        number
    }

    /// Starts indirect probes of members that did not answer a direct ping in time, and
    /// suspects members whose probes have failed.
    pub(super) fn process_due_probes(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let is_due = |at: &mut Timestamp| *at <= now;
        let mut indirect = Vec::new();
        for probe in &mut self.probes {
            if probe.indirect_at.take_if(is_due).is_some() {
                indirect.push((probe.number, probe.target.name.clone()));
            }
        }
        for (number, target) in indirect {
            self.probe_through_others(number, &target, now, rng, actions);
        }
        let (failed, pending) =
            std::mem::take(&mut self.probes).into_iter().partition(|it| it.fails_at <= now);
        self.probes = pending;
        let failed: Vec<Probe> = failed;
        for probe in failed {
            self.consecutive_failures += usize::from(!probe.is_retry);
            self.suspect(&probe, now, actions);
        }
    }

    /// Declares dead the members whose suspicion has timed out, and probes other suspected
    /// members again.
    pub(super) fn process_due_suspicions(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let due = self.suspicions.iter().filter(|(_, it)| it.ends_at <= now);
        let mut ended: Vec<_> = due.map(|(name, _)| name.clone()).collect();
        ended.sort();
        for name in ended {
            self.suspicions.remove(&name);
            self.declare_dead(&name, now, rng, actions);
        }
        let due = self.suspicions.iter().filter(|(_, it)| it.retry_at <= now);
        let mut due: Vec<_> = due.map(|(name, it)| (it.retry_at, name.clone())).collect();
        due.sort();
        for (index, (_, name)) in due.into_iter().enumerate() {
            if let Some(suspicion) = self.suspicions.get_mut(&name) {
                suspicion.retry_at = now + self.settings.suspect_probe_interval;
            }
            if index < SUSPECTS_PROBED_MAX {
                self.probe_suspect(&name, now, rng, actions);
            }
        }
    }

    /// Reports whether this router seems to be isolated from all others.
    pub(super) fn is_isolated(&self) -> bool {
        self.consecutive_failures >= ISOLATION_FAILURES
    }

    fn probe_through_others(
        &mut self,
        number: u64,
        target: &RouterName,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.roster.get(target) else { return };
        let target_address = entry.record.peer_address;
        let count = self.settings.indirect_probes;
        for helper in self.roster.random_live(count, Some(target), rng) {
            let Some(to) = self.roster.get(&helper).map(|it| it.record.peer_address) else {
                continue;
            };
            let kind =
                MessageKind::PingRequest { probe: number, target: target.clone(), target_address };
            // The helper forwards the record to the target, which can refute it.
            let suspicion_record = self.roster.get(target).map(|it| it.record_at(now));
            let message = self.message(kind, suspicion_record.into_iter().collect());
            actions.push(Action::send(to, message));
        }
    }

    fn probe_suspect(
        &mut self,
        name: &RouterName,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        self.start_probe(name, now, actions);
        let Some(probe) = self.probes.last_mut() else { return };
        probe.is_retry = true;
        probe.indirect_at = None;
        let number = probe.number;
        self.probe_through_others(number, name, now, rng, actions);
    }

    fn suspect(&mut self, probe: &Probe, now: Timestamp, actions: &mut Vec<Action>) {
        let name = &probe.target.name;
        let Some(entry) = self.roster.get_mut(name) else { return };
        let is_same = entry.record.id == probe.target;
        if !is_same || entry.died_at.is_some() || self.suspicions.contains_key(name) {
            return;
        }
        if entry.record.status == MemberStatus::Alive {
            entry.record.status = MemberStatus::Suspect;
            let (id, state) = (entry.record.id.clone(), entry.record.state());
            actions.push(Action::MemberChanged { id, state });
            self.is_changed = true;
            if !self.is_isolated() {
                self.gossip.push(name);
            }
        }
        self.suspicions.insert(name.clone(), Suspicion::new(&self.settings, now));
    }

    fn declare_dead(
        &mut self,
        name: &RouterName,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        let Some(mut record) = self.roster.get(name).map(|it| it.record.clone()) else { return };
        record.status = MemberStatus::Dead;
        record.dead_for = Duration::ZERO;
        self.upsert(record, now, rng, actions);
        if !self.is_isolated() {
            self.gossip.push(name);
        }
    }
}
