//! Messages of the failure detector, with the records that they pass on.

use std::net::SocketAddr;

use types::{RouterName, Timestamp};
use utils::Rng;

use crate::{Action, Detector, MemberRecord, MemberStatus, Message, MessageKind};

impl Detector {
    /// Creates a message that passes on `updates`.
    pub(super) fn message(&self, kind: MessageKind, updates: Vec<MemberRecord>) -> Message {
        Message { sender: self.local.clone(), kind, updates }
    }

    /// Sends a message to member `name`, with changes and further records.
    pub(super) fn send_to(
        &mut self,
        name: &RouterName,
        to: SocketAddr,
        kind: MessageKind,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        let mut names: Vec<_> = self.accused(name).into_iter().collect();
        let room = self.settings.max_updates.saturating_sub(names.len());
        names.extend(self.gossip.take(room, self.roster.live_count() + 1));
        let room = self.settings.max_updates.saturating_sub(names.len());
        let refresh = self.roster.next_to_refresh(room.min(self.settings.refresh_updates));
        names.extend(refresh.into_iter().filter(|it| !self.is_fresh_death(it, now)));
        names.sort();
        names.dedup();
        let message = self.message(kind, self.records(&names, now));
        actions.push(Action::send(to, message));
    }

    /// Passes changes on to some members, if there are any.
    pub(super) fn send_gossip(&mut self, now: Timestamp, rng: &mut Rng, actions: &mut Vec<Action>) {
        for name in self.roster.draw_live(self.settings.gossip_fanout, None, rng) {
            if self.gossip.is_empty() {
                return;
            }
            let members = self.roster.live_count() + 1;
            let mut names = self.gossip.take(self.settings.max_updates, members);
            let accused = self.accused(&name).filter(|it| !names.contains(it));
            names.extend(accused);
            let Some(to) = self.roster.get(&name).map(|it| it.record.peer_address) else {
                continue;
            };
            let message = self.message(MessageKind::Gossip, self.records(&names, now));
            actions.push(Action::send(to, message));
        }
    }

    /// Tells the sender of a message, which this router holds for suspect or dead, so
    /// that it can refute.
    pub(super) fn correct_sender(
        &mut self,
        name: &RouterName,
        now: Timestamp,
        actions: &mut Vec<Action>,
    ) {
        if self.accused(name).is_none() {
            return;
        }
        let Some(entry) = self.roster.get(name) else { return };
        let to = entry.record.peer_address;
        let message = self.message(MessageKind::Gossip, vec![entry.record_at(now)]);
        actions.push(Action::send(to, message));
    }

    /// Returns `name` if that member is held for suspect or dead.
    fn accused(&self, name: &RouterName) -> Option<RouterName> {
        let entry = self.roster.get(name)?;
        (entry.record.status != MemberStatus::Alive).then(|| name.clone())
    }

    fn is_fresh_death(&self, name: &RouterName, now: Timestamp) -> bool {
        let died = self.roster.get(name).and_then(|it| it.died);
        died.is_some_and(|died| now.since(died) < self.settings.fresh_death)
    }

    fn records(&self, names: &[RouterName], now: Timestamp) -> Vec<MemberRecord> {
        let others = names.iter().filter_map(|name| self.roster.get(name));
        others.map(|it| it.record_at(now)).collect()
    }
}
