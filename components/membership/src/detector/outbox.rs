//! Outgoing messages of the failure detector and the records that they carry.

use std::net::SocketAddr;

use types::{RouterName, Timestamp};
use utils::Rng;

use crate::{Action, Detector, MemberRecord, MemberStatus, Message, MessageKind};

impl Detector {
    /// Creates a message that carries `updates`.
    pub(super) fn message(&self, kind: MessageKind, updates: Vec<MemberRecord>) -> Message {
        Message { sender: self.local.clone(), kind, updates }
    }

    /// Sends a message to member `name`. The message carries the record of that member if it
    /// is suspect or dead, queued changes, and the records of further members in rotation.
    pub(super) fn send_to(
        &mut self,
        name: &RouterName,
        to: SocketAddr,
        kind: MessageKind,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let mut names: Vec<_> = self.suspect_or_dead(name).into_iter().collect();
        let room = self.settings.max_updates.saturating_sub(names.len());
        names.extend(self.gossip.next_batch(room, self.roster.live_count() + 1));
        let room = self.settings.max_updates.saturating_sub(names.len());
        let refresh = self.roster.next_to_refresh(room.min(self.settings.refresh_updates));
        names.extend(refresh.into_iter().filter(|it| !self.is_recent_death(it, now)));
        names.sort();
        names.dedup();
        let message = self.message(kind, self.records(&names, now));
        actions.push(Action::send(to, message));
    }

    /// Sends queued changes, if there are any, to as many random members as the gossip fanout
    /// allows.
    pub(super) fn send_gossip(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<Action>) {
        for name in self.roster.random_live(self.settings.gossip_fanout, None, rng) {
            if self.gossip.is_empty() {
                return;
            }
            let members = self.roster.live_count() + 1;
            let mut names = self.gossip.next_batch(self.settings.max_updates, members);
            let suspect_or_dead = self.suspect_or_dead(&name).filter(|it| !names.contains(it));
            names.extend(suspect_or_dead);
            let Some(to) = self.roster.get(&name).map(|it| it.record.peer_address) else {
                continue;
            };
            let message = self.message(MessageKind::Gossip, self.records(&names, now));
            actions.push(Action::send(to, message));
        }
    }

    /// Sends the sender of a message its record if it is suspect or dead in this router's
    /// view, so that it can refute the record.
    pub(super) fn notify_sender_of_suspicion(
        &mut self,
        name: &RouterName,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.suspect_or_dead(name).is_none() {
            return;
        }
        let Some(entry) = self.roster.get(name) else { return };
        let to = entry.record.peer_address;
        let message = self.message(MessageKind::Gossip, vec![entry.record_at(now)]);
        actions.push(Action::send(to, message));
    }

    /// Returns `name` if that member is suspect or dead in this router's view.
    fn suspect_or_dead(&self, name: &RouterName) -> Option<RouterName> {
        let entry = self.roster.get(name)?;
        (entry.record.status != MemberStatus::Alive).then(|| name.clone())
    }

    fn is_recent_death(&self, name: &RouterName, now: Timestamp) -> bool {
        let died = self.roster.get(name).and_then(|it| it.died_at);
        died.is_some_and(|died| now.since(died) < self.settings.recent_death_age)
    }

    fn records(&self, names: &[RouterName], now: Timestamp) -> Vec<MemberRecord> {
        let others = names.iter().filter_map(|name| self.roster.get(name));
        others.map(|it| it.record_at(now)).collect()
    }
}
