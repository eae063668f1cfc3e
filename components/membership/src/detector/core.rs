//! The failure detector.

use std::net::SocketAddr;

use rand::Rng as _;
use types::{ConfigVersion, RouterName, Timestamp};
use utils::{HashMap, Rng};

use super::{
    gossip::GossipQueue,
    probe::{Probe, RelayedPing},
    roster::Roster,
    suspicion::Suspicion,
};
use crate::{
    Action, DetectorSettings, Member, MemberRecord, MemberStatus, MembershipView, Message,
    MessageKind,
};

/// Maximum number of records in each message that answers a join.
const JOIN_RECORDS_MAX: usize = 32;

/// The failure detector of one router.
///
/// The caller passes in the current time, every received message and the wakeups that the
/// detector asks for, and carries out the returned actions.
#[derive(Debug)]
pub struct Detector {
    pub(super) settings: DetectorSettings,
    /// Record of this router.
    pub(super) local: MemberRecord,
    /// The other members.
    pub(super) roster: Roster,
    /// Changes still to be disseminated.
    pub(super) gossip: GossipQueue,
    /// Probes in progress.
    pub(super) probes: Vec<Probe>,
    /// Pings in progress on behalf of other routers.
    relayed_pings: Vec<RelayedPing>,
    /// Suspicions raised by this router's own probes, by member.
    pub(super) suspicions: HashMap<RouterName, Suspicion>,
    /// Peer addresses from the settings and the host list, at which there may be routers.
    contacts: Vec<SocketAddr>,
    /// Number that was last given to a probe.
    last_probe_number: u64,
    /// Failed probes of members not yet suspected, since the last answer to any probe.
    pub(super) consecutive_failures: usize,
    /// Whether a process with a higher incarnation uses this router's name.
    is_superseded: bool,
    /// Whether the view may have changed since the last call of `take_changed`.
    pub(super) is_changed: bool,
    started_at: Timestamp,
    last_wakeup_at: Timestamp,
    /// When the next member is probed.
    next_probe_at: Timestamp,
    /// When the next round of gossip is due.
    next_gossip_at: Timestamp,
    /// Next request to a member for all members that it knows; `None` after the last one,
    /// when the view is assumed to be complete.
    next_full_sync: Option<FullSync>,
    /// When the next contact address or dead member is contacted.
    next_contact_at: Timestamp,
}

/// Scheduled request for all members.
#[derive(Debug)]
struct FullSync {
    /// When the request is sent.
    at: Timestamp,
    /// Remaining requests, including this one.
    left: u32,
}

impl Detector {
    /// Creates the failure detector of `local`, which knows no other members. `contacts`
    /// are peer addresses at which there may be routers.
    pub fn new(
        settings: DetectorSettings,
        local: &Member,
        contacts: Vec<SocketAddr>,
        now: Timestamp,
    ) -> Detector {
        let first_full_sync =
            FullSync { at: now + settings.first_full_sync_delay, left: settings.full_syncs };
        Detector {
            next_full_sync: Some(first_full_sync),
            settings,
            local: MemberRecord::from_member(local),
            roster: Roster::default(),
            gossip: GossipQueue::default(),
            probes: Vec::new(),
            relayed_pings: Vec::new(),
            suspicions: HashMap::default(),
            contacts,
            last_probe_number: 0,
            consecutive_failures: 0,
            is_superseded: false,
            is_changed: true,
            started_at: now,
            last_wakeup_at: now,
            next_probe_at: now,
            next_gossip_at: now,
            next_contact_at: now,
        }
    }

    /// Sets the load, in requests, and the configuration version that are sent to the other
    /// members.
    pub fn set_load_and_config_version(&mut self, load: u32, config_version: ConfigVersion) {
        if (self.local.load, self.local.config_version) == (load, config_version) {
            return;
        }
        self.local.load = load;
        self.local.config_version = config_version;
        self.is_changed = true;
    }

    /// Replaces the contacts: peer addresses at which there may be routers.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// Marks this router as leaving and announces this at once to as many members as the gossip
    /// fanout allows, which pass it on to the others.
    pub fn leave(&mut self, rng: &mut Rng, now: Timestamp) -> Vec<Action> {
        self.local.is_leaving = true;
        self.publish_local_record();
        let mut actions = Vec::new();
        self.send_gossip(now, rng, &mut actions);
        actions
    }

    /// Returns the current membership, without dead members.
    pub fn view(&self) -> MembershipView {
        let records = self.roster.iter().map(|it| &it.record);
        let live = records.filter(|it| it.status != MemberStatus::Dead);
        MembershipView {
            local: self.local.to_member(),
            others: live.map(MemberRecord::to_member).collect(),
        }
    }

    /// Reports whether the view may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Reports whether a process with a higher incarnation uses this router's name.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns the time by which [`on_wakeup`](Detector::on_wakeup) must be called next.
    pub fn next_wakeup(&self) -> Timestamp {
        let timers = [self.next_probe_at, self.next_gossip_at, self.next_contact_at];
        let sync = self.next_full_sync.as_ref().map(|it| it.at);
        let probes = self.probes.iter().map(|it| it.indirect_at.unwrap_or(it.fails_at));
        let suspicions = self.suspicions.values().map(Suspicion::next_wakeup);
        timers.into_iter().chain(sync).chain(probes).chain(suspicions).min().unwrap_or_default()
    }

    /// Handles a wakeup: does everything that is due and returns the resulting actions.
    pub fn on_wakeup(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if now.since(self.last_wakeup_at) > self.settings.pause_threshold {
            self.recover_from_pause(now);
        }
        self.last_wakeup_at = now;
        self.local.heartbeat += 1;
        self.relayed_pings.retain(|it| it.ends_at > now);
        self.process_due_probes(now, rng, &mut actions);
        self.process_due_suspicions(now, rng, &mut actions);
        if now >= self.next_probe_at {
            self.next_probe_at = now + self.probe_period();
            self.probe_next(now, rng, &mut actions);
        }
        if now >= self.next_gossip_at {
            self.next_gossip_at = now + self.settings.gossip_period;
            self.send_gossip(now, rng, &mut actions);
        }
        if now >= self.next_contact_at {
            self.next_contact_at = now + self.settings.contact_period;
            self.roster.purge_dead(self.settings.dead_retention, now);
            self.contact_dead_and_unknown(now, rng, &mut actions);
        }
        if self.next_full_sync.as_ref().is_some_and(|it| it.at <= now) {
            self.request_full_sync(now, rng, &mut actions);
        }
        actions
    }

    /// Handles a message from another router.
    pub fn on_message(&mut self, message: Message, now: Timestamp, rng: &mut Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        let sender = message.sender;
        if sender.id == self.local.id {
            return actions;
        }
        let reply_to = sender.peer_address;
        let sender_name = sender.id.name.clone();
        self.merge(sender, now, rng, &mut actions);
        for update in message.updates.iter().cloned() {
            self.merge(update, now, rng, &mut actions);
        }
        match message.kind {
            MessageKind::Ping { probe } => {
                let kind = MessageKind::Ack { probe };
                self.send_to(&sender_name, reply_to, kind, now, &mut actions);
            }
            MessageKind::Ack { probe } => {
                self.on_ack(probe, &sender_name, now, &mut actions);
            }
            MessageKind::PingRequest { probe, target, target_address } => {
                let number = self.start_relayed_ping(reply_to, probe, now);
                let kind = MessageKind::Ping { probe: number };
                // Forwards the suspicion to the target, even if this router did not accept it.
                let about_target = message.updates.into_iter().filter(|it| it.id.name == target);
                let message = self.message(kind, about_target.collect());
                actions.push(Action::send(target_address, message));
            }
            MessageKind::Join => self.answer_join(reply_to, now, &mut actions),
            MessageKind::Gossip => self.notify_sender_of_suspicion(&sender_name, now, &mut actions),
        }
        actions
    }

    /// Returns an unused probe number.
    pub(super) fn allocate_probe_number(&mut self) -> u64 {
        self.last_probe_number += 1;
        self.last_probe_number
    }

    /// Queues a change of this router's own record, so that gossip is sent. Every message
    /// carries this record as its `sender`.
    pub(super) fn publish_local_record(&mut self) {
        let name = self.local.id.name.clone();
        self.local.heartbeat += 1;
        self.gossip.push(&name);
        self.is_changed = true;
    }

    /// Refutes a record that declares this process suspect or dead. A record with a higher
    /// incarnation means that this process is superseded.
    pub(super) fn refute(&mut self, record: &MemberRecord) {
        if record.id.incarnation > self.local.id.incarnation {
            self.is_superseded = true;
            return;
        }
        let is_current = record.id == self.local.id;
        let is_suspect_or_dead = record.status != MemberStatus::Alive;
        if is_current && is_suspect_or_dead && record.refutation >= self.local.refutation {
            self.local.refutation = record.refutation + 1;
            self.publish_local_record();
        }
    }

    /// Discards outdated state after the process was paused: answers to its probes were
    /// missed, and the other members may have declared it dead.
    fn recover_from_pause(&mut self, now: Timestamp) {
        self.probes.clear();
        self.relayed_pings.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.extend(&self.settings, now);
        }
        self.local.refutation += 1;
        self.publish_local_record();
    }

    fn start_relayed_ping(
        &mut self,
        origin: SocketAddr,
        origin_number: u64,
        now: Timestamp,
    ) -> u64 {
        let number = self.allocate_probe_number();
        let ends_at = now + self.settings.probe_timeout;
        self.relayed_pings.push(RelayedPing { number, origin, origin_number, ends_at });
        number
    }

    fn on_ack(
        &mut self,
        number: u64,
        sender: &RouterName,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(index) = self.relayed_pings.iter().position(|it| it.number == number) {
            let ping = self.relayed_pings.swap_remove(index);
            let kind = MessageKind::Ack { probe: ping.origin_number };
            let updates = self.roster.get(sender).map(|it| it.record_at(now));
            let message = self.message(kind, updates.into_iter().collect());
            actions.push(Action::send(ping.origin, message));
            return;
        }
        self.consecutive_failures = 0;
        let Some(index) = self.probes.iter().position(|it| it.number == number) else { return };
        let probe = self.probes.swap_remove(index);
        if let Some(entry) = self.roster.get_mut(&probe.target.name) {
            entry.answered_at = Some(now);
        }
        if let Some(suspicion) = self.suspicions.get_mut(&probe.target.name) {
            suspicion.extend(&self.settings, now);
        }
    }

    fn answer_join(&mut self, to: SocketAddr, now: Timestamp, actions: &mut Vec<Action>) {
        let records: Vec<_> = self.roster.iter().map(|it| it.record_at(now)).collect();
        let live: Vec<_> =
            records.into_iter().filter(|it| it.status != MemberStatus::Dead).collect();
        for chunk in live.chunks(JOIN_RECORDS_MAX) {
            let message = self.message(MessageKind::Gossip, chunk.to_vec());
            actions.push(Action::send(to, message));
        }
        if live.is_empty() {
            let message = self.message(MessageKind::Gossip, Vec::new());
            actions.push(Action::send(to, message));
        }
    }

    /// Asks one member for all members that it knows. Routers that start at the same time
    /// are missing from each other's first answers, and gossip alone is slow to disseminate
    /// that many changes.
    fn request_full_sync(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<Action>) {
        let Some(sync) = self.next_full_sync.take() else { return };
        for name in self.roster.random_live(1, None, rng) {
            let Some(to) = self.roster.get(&name).map(|it| it.record.peer_address) else {
                continue;
            };
            actions.push(Action::send(to, self.message(MessageKind::Join, Vec::new())));
        }
        let span = now.since(self.started_at) * 2;
        let left = sync.left.saturating_sub(1);
        self.next_full_sync =
            (left > 0).then(|| FullSync { at: now + utils::jitter(span, rng), left });
    }

    /// Contacts a dead member, which may be alive if a network partition has healed, and a
    /// contact address at which no member is known. A router that knows no live members
    /// contacts all such addresses.
    fn contact_dead_and_unknown(
        &mut self,
        now: Timestamp,
        rng: &mut Rng,
        actions: &mut Vec<Action>,
    ) {
        if let Some(dead) = self.roster.random_dead(rng) {
            let (name, to) = (dead.record.id.name.clone(), dead.record.peer_address);
            let kind = MessageKind::Ping { probe: 0 };
            self.send_to(&name, to, kind, now, actions);
        }
        let is_known = |address| {
            let mut entries = self.roster.iter();
            address == self.local.peer_address
                || entries.any(|it| it.record.peer_address == address)
        };
        let unknown: Vec<_> = self.contacts.iter().copied().filter(|it| !is_known(*it)).collect();
        let is_alone = self.roster.live_count() == 0;
        let count = if is_alone { unknown.len() } else { unknown.len().min(1) };
        let first = if unknown.is_empty() { 0 } else { rng.random_range(0..unknown.len()) };
        for &to in unknown.iter().cycle().skip(first).take(count) {
            let message = self.message(MessageKind::Join, Vec::new());
            actions.push(Action::send(to, message));
        }
    }
}
