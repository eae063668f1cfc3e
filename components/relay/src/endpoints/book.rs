//! All endpoints that the router knows.

use std::sync::Arc;

use types::Timestamp;
use utils::{HashMap, HashSet};

use super::{
    endpoint::Endpoint,
    load::{Load, LoadShare},
    prompt_split::PromptSplit,
    store_contact::StoreContact,
};
use crate::{
    model::{EndpointEntry, EndpointPhase},
    units::millis,
};

/// A change in the platform's list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An entry was written.
    Written(EndpointEntry),
    /// The entry of this endpoint was removed, or cannot be read any more.
    Removed(Arc<str>),
}

/// All endpoints that the router knows.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    /// Endpoints by id.
    pub(super) endpoints: HashMap<Arc<str>, Endpoint>,
    /// Rates of long and short prompts, by service.
    pub(super) splits: HashMap<Arc<str>, PromptSplit>,
    /// Whether the list was read since the start.
    has_list: bool,
    /// Contact to the store of the list.
    contact: StoreContact,
}

impl EndpointRegistry {
    /// Notes whether a read of the list was answered.
    pub fn note_contact(&mut self, is_answered: bool, now: Timestamp) {
        self.contact.note(is_answered, now);
    }

    /// Takes over the whole list.
    pub fn apply_list(&mut self, entries: Vec<EndpointEntry>, now: Timestamp) {
        self.has_list = true;
        let listed: HashSet<Arc<str>> = entries.iter().map(|it| it.id.clone()).collect();
        let missing: Vec<Arc<str>> =
            self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for entry in entries {
            self.apply_change(EndpointChange::Written(entry), now);
        }
        for id in missing {
            self.apply_change(EndpointChange::Removed(id), now);
        }
    }

    /// Takes over one change of the list.
    pub fn apply_change(&mut self, change: EndpointChange, now: Timestamp) {
        match change {
            EndpointChange::Written(entry) => self.write(entry),
            EndpointChange::Removed(id) => self.remove(&id, now),
        }
    }

    /// Drops the endpoints that are taken to be gone by now.
    pub fn expire(&mut self, now: Timestamp) {
        let is_gone = |it: &Endpoint| it.gone_at.is_some_and(|at| at <= now);
        self.endpoints.retain(|id, it| {
            let is_kept = !is_gone(it);
            if !is_kept {
                log::info!(endpoint:% = id, service:% = it.entry.service; "endpoint gone: entry missing after the store's return");
            }
            is_kept
        });
    }

    /// Drops an endpoint that another process has replaced at its address.
    pub fn drop_replaced(&mut self, id: &str) {
        if self.endpoints.remove(id).is_some() {
            log::info!(endpoint = id; "endpoint gone: its address belongs to another");
        }
    }

    /// Notes a request that was placed on an endpoint.
    pub fn start(&mut self, id: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own.add(load);
        }
    }

    /// Notes that the endpoint has processed a prompt.
    pub fn end_prompt(&mut self, id: &str, tokens: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own.prompt_tokens = endpoint.own.prompt_tokens.saturating_sub(tokens);
        }
    }

    /// Notes that a request has left an endpoint.
    pub fn end(&mut self, id: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let own = &mut endpoint.own;
            own.requests = own.requests.saturating_sub(load.requests);
            own.prompt_tokens = own.prompt_tokens.saturating_sub(load.prompt_tokens);
            own.memory_tokens = own.memory_tokens.saturating_sub(load.memory_tokens);
        }
    }

    /// Notes whether a request failed through the endpoint's fault.
    pub fn note_outcome(&mut self, id: &str, is_failure: bool, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.note(is_failure, now);
        }
    }

    /// Notes that an endpoint did not accept a connection or refused for lack of room.
    pub fn note_unreachable(&mut self, id: &str, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.note_unreachable(now);
        }
    }

    /// Returns the load of this router's requests, where there is any.
    pub fn own_loads(&self) -> Vec<LoadShare> {
        let busy = self.endpoints.iter().filter(|(_, it)| it.own.requests > 0);
        busy.map(|(id, it)| LoadShare { endpoint: id.clone(), load: it.own }).collect()
    }

    /// Takes over what another router says of its load.
    pub fn apply_peer_loads(&mut self, peer: &Arc<str>, shares: &[LoadShare], now: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.peers.remove(peer);
        }
        for share in shares {
            if let Some(endpoint) = self.endpoints.get_mut(&share.endpoint) {
                endpoint.peers.insert(peer.clone(), (share.load, now));
            }
        }
    }

    /// Tells whether the endpoint may get new work.
    pub fn is_in_service(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|it| it.entry.phase == EndpointPhase::Ready)
    }

    /// Returns the numbers of endpoints that take new work, and of all.
    pub fn counts(&self) -> (usize, usize) {
        let ready = |it: &&Endpoint| it.entry.phase == EndpointPhase::Ready;
        (self.endpoints.values().filter(ready).count(), self.endpoints.len())
    }

    /// Tells whether the list was read since the start.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    fn write(&mut self, entry: EndpointEntry) {
        let Some(known) = self.endpoints.get_mut(&entry.id) else {
            log::info!(endpoint:% = entry.id, service:% = entry.service, address:% = entry.address; "endpoint taken in");
            self.endpoints.insert(entry.id.clone(), Endpoint::new(entry));
            return;
        };
        known.gone_at = None;
        if known.entry.started_at_ms > entry.started_at_ms {
            log::info!(endpoint:% = entry.id; "entry of an earlier process ignored");
            return;
        }
        let is_restarted = known.entry.started_at_ms < entry.started_at_ms;
        if is_restarted || known.entry.address != entry.address {
            log::info!(endpoint:% = entry.id, address:% = entry.address; "endpoint restarted");
            *known = Endpoint::new(entry);
            return;
        }
        if known.entry.phase != entry.phase {
            log::info!(endpoint:% = entry.id, phase:? = entry.phase; "endpoint changed its phase");
        }
        known.entry = entry;
    }

    fn remove(&mut self, id: &Arc<str>, now: Timestamp) {
        let gone_at = self.contact.gone_at(now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if gone_at > now {
            log::info!(endpoint:% = id, wait_ms = millis(gone_at.since(now)); "entry missing, endpoint kept for now");
            endpoint.gone_at.get_or_insert(gone_at);
            return;
        }
        log::info!(endpoint:% = id, service:% = endpoint.entry.service; "endpoint gone: entry removed");
        self.endpoints.remove(id);
    }
}
