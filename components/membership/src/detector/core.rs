//! The failure detector.

use std::net::SocketAddr;

use rand::Rng as _;
use types::{ConfigVersion, RouterName, Timestamp};
use utils::{HashMap, Rng};

use super::{
    gossip::GossipQueue,
    probe::{Probe, Relay},
    roster::Roster,
    suspicion::Suspicion,
};
use crate::{
    Action, DetectorSettings, Member, MemberRecord, MemberStatus, MembershipView, Message,
    MessageKind,
};

/// Most records in one of the messages that answer a join.
const JOIN_CHUNK: usize = 32;

/// The failure detector of one router.
///
/// It is told the time, of every message that arrives and of its wakeups, and gives back
/// what is to be sent.
#[derive(Debug)]
pub struct Detector {
    /// Settings.
    pub(super) settings: DetectorSettings,
    /// Record of this router.
    pub(super) local: MemberRecord,
    /// The other members.
    pub(super) roster: Roster,
    /// Changes to pass on.
    pub(super) gossip: GossipQueue,
    /// Probes in progress.
    pub(super) probes: Vec<Probe>,
    /// Pings in place of others, in progress.
    relays: Vec<Relay>,
    /// Members that this router itself suspects.
    pub(super) suspicions: HashMap<RouterName, Suspicion>,
    /// Peer addresses from the settings and from the host list; hints only.
    contacts: Vec<SocketAddr>,
    /// Number of the next probe.
    next_number: u64,
    /// Probes of members that were not suspected, failed since the last answer to any.
    pub(super) failed_in_a_row: usize,
    /// Whether a process with a higher incarnation uses this router's name.
    is_superseded: bool,
    /// Whether the view may differ from the last one that was taken.
    pub(super) is_changed: bool,
    /// When it started.
    started: Timestamp,
    /// When it last woke up.
    last_wakeup: Timestamp,
    /// When the next member is probed.
    next_probe_at: Timestamp,
    /// When the next round of gossip is due.
    next_gossip_at: Timestamp,
    /// When a member is next asked for all members; `None` once the view is taken to be
    /// whole.
    next_sync: Option<Sync>,
    /// When the next seed, hint or dead member is contacted.
    next_contact_at: Timestamp,
}

/// Request for all members that is to come.
#[derive(Debug)]
struct Sync {
    /// When it is made.
    at: Timestamp,
    /// Requests to come, this one included.
    left: u32,
}

impl Detector {
    /// Creates the failure detector of `local`, which knows of no other member.
    /// `contacts` are peer addresses at which routers may be found.
    pub fn new(
        settings: DetectorSettings,
        local: &Member,
        contacts: Vec<SocketAddr>,
        now: Timestamp,
    ) -> Detector {
        let first_sync = Sync { at: now + settings.first_sync, left: settings.syncs };
        Detector {
            next_sync: Some(first_sync),
            settings,
            local: MemberRecord::from_member(local),
            roster: Roster::default(),
            gossip: GossipQueue::default(),
            probes: Vec::new(),
            relays: Vec::new(),
            suspicions: HashMap::default(),
            contacts,
            next_number: 0,
            failed_in_a_row: 0,
            is_superseded: false,
            is_changed: true,
            started: now,
            last_wakeup: now,
            next_probe_at: now,
            next_gossip_at: now,
            next_contact_at: now,
        }
    }

    /// Sets the load and the configuration version that the others are told.
    pub fn set_load_and_config_version(&mut self, load: u32, config_version: ConfigVersion) {
        if (self.local.load, self.local.config_version) == (load, config_version) {
            return;
        }
        self.local.load = load;
        self.local.config_version = config_version;
        self.is_changed = true;
    }

    /// Replaces the hints: peer addresses at which routers may be found.
    pub fn set_contacts(&mut self, contacts: Vec<SocketAddr>) {
        self.contacts = contacts;
    }

    /// Marks this router as leaving and tells all members at once, up to the gossip
    /// fanout; the others learn it from them.
    pub fn leave(&mut self, rng: &mut Rng, now: Timestamp) -> Vec<Action> {
        self.local.is_leaving = true;
        self.announce_self();
        let mut actions = Vec::new();
        self.send_gossip(now, rng, &mut actions);
        actions
    }

    /// Returns the present membership, and whether it may have changed since the last
    /// call of [`take_changed`](Detector::take_changed).
    pub fn view(&self) -> MembershipView {
        let records = self.roster.iter().map(|it| &it.record);
        let live = records.filter(|it| it.status != MemberStatus::Dead);
        MembershipView {
            local: self.local.to_member(),
            others: live.map(MemberRecord::to_member).collect(),
        }
    }

    /// Tells whether the view may have changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.is_changed)
    }

    /// Tells whether a process with a higher incarnation uses this router's name.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// Returns when the detector wants to wake up next.
    pub fn next_wakeup(&self) -> Timestamp {
        let timers = [self.next_probe_at, self.next_gossip_at, self.next_contact_at];
        let sync = self.next_sync.as_ref().map(|it| it.at);
        let probes = self.probes.iter().map(|it| it.indirect_at.unwrap_or(it.fails_at));
        let suspicions = self.suspicions.values().map(Suspicion::next_wakeup);
        timers.into_iter().chain(sync).chain(probes).chain(suspicions).min().unwrap_or_default()
    }

    /// Handles a wakeup.
    pub fn on_wakeup(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        if now.since(self.last_wakeup) > self.settings.pause_threshold {
            self.resume(now);
        }
        self.last_wakeup = now;
        self.local.heartbeat += 1;
        self.relays.retain(|it| it.ends_at > now);
        self.check_probes(now, rng, &mut actions);
        self.check_suspicions(now, rng, &mut actions);
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
            self.roster.forget_dead(self.settings.keep_dead, now);
            self.contact_others(now, rng, &mut actions);
        }
        if self.next_sync.as_ref().is_some_and(|it| it.at <= now) {
            self.sync(now, rng, &mut actions);
        }
        actions
    }

    /// Handles a message.
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
                let relay = self.start_relay(reply_to, probe, now);
                let kind = MessageKind::Ping { probe: relay };
                // The target learns of the accusation, also where it is not believed here.
                let about_target = message.updates.into_iter().filter(|it| it.id.name == target);
                let message = self.message(kind, about_target.collect());
                actions.push(Action::send(target_address, message));
            }
            MessageKind::Join => self.answer_join(reply_to, now, &mut actions),
            MessageKind::Gossip => self.correct_sender(&sender_name, now, &mut actions),
        }
        actions
    }

    /// Returns a number that no probe has used.
    pub(super) fn take_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    /// Lets the others know the record of this router.
    pub(super) fn announce_self(&mut self) {
        let name = self.local.id.name.clone();
        self.local.heartbeat += 1;
        self.gossip.push(&name);
        self.is_changed = true;
    }

    /// Refutes a record of this router that is not right.
    pub(super) fn refute(&mut self, record: &MemberRecord) {
        if record.id.incarnation > self.local.id.incarnation {
            self.is_superseded = true;
            return;
        }
        let is_current = record.id == self.local.id;
        let is_accused = record.status != MemberStatus::Alive;
        if is_current && is_accused && record.refutation >= self.local.refutation {
            self.local.refutation = record.refutation + 1;
            self.announce_self();
        }
    }

    /// Starts afresh after the process was paused: what it waited for has lapsed, and
    /// the others may hold it for dead.
    fn resume(&mut self, now: Timestamp) {
        self.probes.clear();
        self.relays.clear();
        for suspicion in self.suspicions.values_mut() {
            suspicion.extend(&self.settings, now);
        }
        self.local.refutation += 1;
        self.announce_self();
    }

    fn start_relay(&mut self, origin: SocketAddr, origin_number: u64, now: Timestamp) -> u64 {
        let number = self.take_number();
        let ends_at = now + self.settings.probe_timeout;
        self.relays.push(Relay { number, origin, origin_number, ends_at });
        number
    }

    fn on_ack(
        &mut self,
        number: u64,
        sender: &RouterName,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if let Some(place) = self.relays.iter().position(|it| it.number == number) {
            let relay = self.relays.swap_remove(place);
            let kind = MessageKind::Ack { probe: relay.origin_number };
            let updates = self.roster.get(sender).map(|it| it.record_at(now));
            let message = self.message(kind, updates.into_iter().collect());
            actions.push(Action::send(relay.origin, message));
            return;
        }
        self.failed_in_a_row = 0;
        let Some(place) = self.probes.iter().position(|it| it.number == number) else { return };
        let probe = self.probes.swap_remove(place);
        if let Some(entry) = self.roster.get_mut(&probe.target.name) {
            entry.answered = Some(now);
        }
        if let Some(suspicion) = self.suspicions.get_mut(&probe.target.name) {
            suspicion.extend(&self.settings, now);
        }
    }

    fn answer_join(&mut self, to: SocketAddr, now: Timestamp, actions: &mut Vec<Action>) {
        let records: Vec<_> = self.roster.iter().map(|it| it.record_at(now)).collect();
        let live: Vec<_> =
            records.into_iter().filter(|it| it.status != MemberStatus::Dead).collect();
        for chunk in live.chunks(JOIN_CHUNK) {
            let message = self.message(MessageKind::Gossip, chunk.to_vec());
            actions.push(Action::send(to, message));
        }
        if live.is_empty() {
            let message = self.message(MessageKind::Gossip, Vec::new());
            actions.push(Action::send(to, message));
        }
    }

    /// Asks one member for all that it knows. Routers that start together are not in each
    /// other's first answers; gossip alone brings so many changes slowly.
    fn sync(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<Action>) {
        let Some(sync) = self.next_sync.take() else { return };
        for name in self.roster.draw_live(1, None, rng) {
            let Some(to) = self.roster.get(&name).map(|it| it.record.peer_address) else {
                continue;
            };
            actions.push(Action::send(to, self.message(MessageKind::Join, Vec::new())));
        }
        let span = now.since(self.started) * 2;
        let left = sync.left.saturating_sub(1);
        self.next_sync = (left > 0).then(|| Sync { at: now + utils::jitter(span, rng), left });
    }

    /// Contacts a dead member, which may be alive beyond a partition that has healed,
    /// and an address at which no member is known.
    fn contact_others(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<Action>) {
        if let Some(dead) = self.roster.draw_dead(rng) {
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
