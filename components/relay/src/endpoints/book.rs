//! Registry of the endpoints that this router knows.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use routing::{RecentObservations, ServiceSpeed};
use types::Timestamp;
use utils::{HashMap, HashSet};

use super::{
    cold::ColdLimit,
    endpoint::{Endpoint, speed_key_of},
    load::{Load, LoadShare},
    placement::{ConnectTarget, ProcessId},
    prompt_split::PromptSplit,
    store_contact::StoreContact,
    version_reads::VersionReads,
    versions::GoneVersions,
};
use crate::{
    domains::EmptiedDomains,
    model::{EndpointEntry, EndpointPhase},
    units::millis,
};

/// Time after the end of a process within which an entry that it wrote may still arrive.
const LATE_ENTRY_TIME: Duration = Duration::from_millis(2_500);

/// Time within which live endpoints write their entries again after the store has come back from an
/// older copy. The requirement is about two seconds; until then an entry may be outdated.
const OLD_ENTRY_TIME: Duration = Duration::from_secs(3);

/// Time for which it is remembered that an endpoint was leaving: longer than the age of a copy from
/// which the store comes back, and the time until its entries are written again.
const DEPARTURE_MEMORY: Duration = Duration::from_secs(16);

/// A change in the platform's list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An entry was added or changed.
    Written(EndpointEntry),
    /// The entry of the endpoint with this id was removed, or can no longer be decoded.
    Removed(Arc<str>),
}

/// The endpoints that this router knows, with their health and load.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    /// Endpoints, keyed by id.
    pub(super) endpoints: HashMap<Arc<str>, Endpoint>,
    /// Rates of long and short prompts, keyed by service name.
    pub(super) splits: HashMap<Arc<str>, PromptSplit>,
    /// How long the answers of each service take, keyed by service name.
    pub(super) speeds: HashMap<Arc<str>, ServiceSpeed>,
    /// Ids of endpoints by the keys that reports on speed use; some may be gone.
    pub(super) speed_keys: HashMap<u32, Arc<str>>,
    /// Whether nothing is learned of the endpoints' speed.
    pub(super) ignores_speeds: bool,
    /// Answers that this router observed in the last second.
    pub(super) recent_speeds: RecentObservations,
    /// Whether the whole list has been read since the process started.
    pub(super) has_list: bool,
    /// Connectivity to the store that holds the list.
    contact: StoreContact,
    /// Reads from which the versions of services are known.
    pub(super) version_reads: VersionReads,
    /// Versions whose endpoints are gone.
    pub(super) gone_versions: GoneVersions,
    /// Versions that the store names, by service, each with the time from which streams that callers may
    /// take up may begin there.
    pub(super) named_versions: HashMap<Arc<str>, BTreeMap<Arc<str>, Timestamp>>,
    /// When an endpoint of a service last stated that it is brittle, keyed by service.
    pub(super) brittle_services: HashMap<Arc<str>, Timestamp>,
    /// Routers that share what endpoints state that they accept, sorted.
    pub(super) sharers: Vec<Arc<str>>,
    /// When `sharers` last changed.
    pub(super) sharers_changed_at: Timestamp,
    /// What endpoints take while they are cold, keyed by service; empty if none needs warming up.
    pub(super) cold_limits: HashMap<Arc<str>, ColdLimit>,
    /// Routers among which cold endpoints are dealt out, sorted.
    pub(super) cold_owners: Vec<Arc<str>>,
    /// When `cold_owners` last changed.
    pub(super) cold_owners_changed_at: Timestamp,
    /// Processes that were leaving or whose entry was removed, by the endpoint's id, with the time.
    departed: HashMap<Arc<str>, (u64, Timestamp)>,
    /// Failure domains whose endpoints get nothing new.
    pub(super) emptied: EmptiedDomains,
    /// Until when entries may be older than what this router has read before.
    may_read_old_until: Timestamp,
    /// Whether an answer has had a malformed statement; only the first one is logged.
    pub(super) has_malformed_statement: bool,
}

impl EndpointRegistry {
    /// Records whether the store answered a read of the list.
    pub fn record_store_contact(&mut self, is_answered: bool, now: Timestamp) {
        self.contact.record(is_answered, now);
    }

    /// Records that the list comes from an older copy of the store: entries that are missing may come
    /// back, and others are outdated until the endpoints write them again.
    pub fn record_older_copy(&mut self, now: Timestamp) {
        log::warn!(endpoints = self.endpoints.len(); "the list of endpoints comes from an older copy of the store");
        self.contact.record_recovery(now);
        self.may_read_old_until = now + OLD_ENTRY_TIME;
    }

    /// Replaces the known list; endpoints that are not in `entries` are treated as removed.
    pub fn apply_list(&mut self, entries: Vec<EndpointEntry>, now: Timestamp) {
        let listed: HashSet<Arc<str>> = entries.iter().map(|it| it.id.clone()).collect();
        let missing: Vec<Arc<str>> =
            self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect();
        for entry in entries {
            self.apply_change(EndpointChange::Written(entry), now);
        }
        for id in missing {
            self.apply_change(EndpointChange::Removed(id), now);
        }
        self.has_list = true;
    }

    /// Applies one change of the list.
    pub fn apply_change(&mut self, change: EndpointChange, now: Timestamp) {
        match change {
            EndpointChange::Written(entry) => {
                let (id, process) = (entry.id.clone(), entry.started_at_ms);
                let former = self.endpoints.get(&id).map(|it| it.entry.started_at_ms);
                self.write(entry, now);
                let known = self.endpoints.get(&id).map(|it| it.entry.started_at_ms);
                if known == Some(process) {
                    self.record_warmth(&id, former != known, now);
                }
            }
            EndpointChange::Removed(id) => self.remove(&id, now),
        }
    }

    /// Removes the endpoints whose entry is still missing at their expiry time.
    pub fn expire(&mut self, now: Timestamp) {
        let is_expired = |it: &Endpoint| it.expires_at.is_some_and(|at| at <= now);
        let gone_versions = &mut self.gone_versions;
        gone_versions.expire(now);
        self.endpoints.retain(|id, it| {
            let is_kept = !is_expired(it);
            if !is_kept {
                gone_versions.record(&it.entry.service, &it.entry.version, now);
                log::info!(endpoint:% = id, service:% = it.entry.service; "endpoint removed: entry still missing after the store recovered");
            }
            is_kept
        });
        let endpoints = &self.endpoints;
        self.speed_keys.retain(|_, id| endpoints.contains_key(id));
        self.departed.retain(|_, (_, at)| now.since(*at) < DEPARTURE_MEMORY);
        self.forget_ended_rates(now);
        self.forget_brittle_services(now);
    }

    /// Removes an endpoint whose address now belongs to another process.
    pub fn remove_replaced(&mut self, id: &str, now: Timestamp) {
        if let Some(it) = self.endpoints.remove(id) {
            self.gone_versions.record(&it.entry.service, &it.entry.version, now);
            log::info!(endpoint = id; "endpoint removed: its address belongs to another process");
        }
    }

    /// Adds the load of a request that was placed on an endpoint.
    pub fn add_request_load(&mut self, id: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own_load.add(load);
        }
    }

    /// Subtracts the tokens of a prompt that the endpoint has processed.
    pub fn finish_prompt(&mut self, id: &str, tokens: u64) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.own_load.prompt_tokens =
                endpoint.own_load.prompt_tokens.saturating_sub(tokens);
        }
    }

    /// Subtracts the load of a request that has ended on an endpoint.
    pub fn remove_request_load(&mut self, id: &str, load: Load) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let own_load = &mut endpoint.own_load;
            own_load.requests = own_load.requests.saturating_sub(load.requests);
            own_load.prompt_tokens = own_load.prompt_tokens.saturating_sub(load.prompt_tokens);
            own_load.memory_tokens = own_load.memory_tokens.saturating_sub(load.memory_tokens);
        }
    }

    /// Records whether the endpoint failed a request.
    pub fn record_outcome(&mut self, id: &str, is_failure: bool, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.record(is_failure, now);
        }
    }

    /// Records that the process of an endpoint has ended.
    pub fn record_end(&mut self, id: &str, process: ProcessId, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && endpoint.entry.started_at_ms == process.started_at_ms
            && endpoint.ended == process.ended
        {
            endpoint.ended += 1;
            endpoint.ended_at = now;
            self.record_cold_end(id, now);
        }
    }

    /// Records that an endpoint did not accept a connection or refused a request for lack of
    /// capacity.
    pub fn record_unreachable(&mut self, id: &str, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.record_unreachable(now);
        }
    }

    /// Reports whether an endpoint refused a connection or a request a short while ago.
    pub fn is_paused(&self, id: &str, now: Timestamp) -> bool {
        self.endpoints.get(id).is_some_and(|it| it.health.is_paused(now))
    }

    /// Returns the load of this router's requests on each endpoint that runs any.
    pub fn own_loads(&self) -> Vec<LoadShare> {
        let busy = self.endpoints.iter().filter(|(_, it)| it.own_load.requests > 0);
        busy.map(|(id, it)| LoadShare { endpoint: id.clone(), load: it.own_load }).collect()
    }

    /// Replaces the load that another router reported for its requests.
    pub fn apply_peer_loads(&mut self, peer: &Arc<str>, shares: &[LoadShare], now: Timestamp) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.peer_loads.remove(peer);
        }
        for share in shares {
            if let Some(endpoint) = self.endpoints.get_mut(&share.endpoint) {
                endpoint.peer_loads.insert(peer.clone(), (share.load, now));
            }
        }
    }

    /// Returns the failure domains that are emptied.
    pub fn emptied_domains(&self) -> &EmptiedDomains {
        &self.emptied
    }

    /// Returns the failure domains that are emptied, to apply changes.
    pub fn emptied_domains_mut(&mut self) -> &mut EmptiedDomains {
        &mut self.emptied
    }

    /// Reports whether new requests may be sent to the endpoint.
    pub(super) fn is_open(&self, endpoint: &Endpoint) -> bool {
        endpoint.is_in_service() && !self.emptied.is_emptied(&endpoint.entry.failure_domain)
    }

    /// Reports whether the endpoint is known and new requests may be sent to it.
    pub fn is_in_service(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|it| self.is_open(it))
    }

    /// Returns where a process of an endpoint accepts connections; `None` if it is not known or
    /// accepts no new requests.
    pub fn connect_target(&self, id: &str, started_at_ms: u64) -> Option<ConnectTarget> {
        let endpoint = self.endpoints.get(id).filter(|it| self.is_open(it))?;
        let entry = &endpoint.entry;
        (entry.started_at_ms == started_at_ms).then(|| ConnectTarget {
            endpoint: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address,
        })
    }

    /// Reports whether an endpoint is known.
    pub fn is_known(&self, id: &str) -> bool {
        self.endpoints.contains_key(id)
    }

    /// Returns the number of endpoints that accept new requests, and the number of all known
    /// endpoints.
    pub fn counts(&self) -> (usize, usize) {
        let ready = |it: &&Endpoint| it.is_in_service();
        (self.endpoints.values().filter(ready).count(), self.endpoints.len())
    }

    /// Reports whether the whole list has been read since the process started.
    pub fn has_list(&self) -> bool {
        self.has_list
    }

    /// Returns whether an entry of an older copy of the store says that a process accepts requests which
    /// was leaving or gone.
    fn is_outdated(&self, entry: &EndpointEntry, now: Timestamp) -> bool {
        let departed = self.departed.get(&entry.id);
        let is_departed = departed.is_some_and(|(process, _)| entry.started_at_ms <= *process);
        self.may_read_old(now) && entry.phase == EndpointPhase::Ready && is_departed
    }

    /// Returns whether the list may be older than what this router, or another one, has read before.
    pub(super) fn may_read_old(&self, now: Timestamp) -> bool {
        now < self.may_read_old_until
    }

    fn record_departure(&mut self, id: &Arc<str>, started_at_ms: u64, now: Timestamp) {
        self.departed.insert(id.clone(), (started_at_ms, now));
    }

    fn write(&mut self, entry: EndpointEntry, now: Timestamp) {
        if self.is_outdated(&entry, now) {
            log::info!(endpoint:% = entry.id; "outdated entry of an endpoint that was leaving ignored");
            if let Some(known) = self.endpoints.get_mut(&entry.id) {
                known.expires_at = None;
            }
            return;
        }
        if entry.phase != EndpointPhase::Ready {
            self.record_departure(&entry.id, entry.started_at_ms, now);
        }
        let Some(known) = self.endpoints.get_mut(&entry.id) else {
            log::info!(endpoint:% = entry.id, service:% = entry.service, address:% = entry.address, version:% = entry.version; "endpoint added");
            self.speed_keys.insert(speed_key_of(&entry.id), entry.id.clone());
            self.endpoints.insert(entry.id.clone(), Endpoint::new(entry));
            return;
        };
        known.expires_at = None;
        if known.entry.started_at_ms > entry.started_at_ms {
            log::info!(endpoint:% = entry.id; "ignoring the entry of an earlier process");
            return;
        }
        let is_restarted = known.entry.started_at_ms < entry.started_at_ms;
        if known.entry.version != entry.version {
            self.gone_versions.record(&known.entry.service, &known.entry.version, now);
        }
        if is_restarted || known.entry.address != entry.address {
            log::info!(endpoint:% = entry.id, address:% = entry.address, version:% = entry.version; "endpoint restarted");
            *known = Endpoint::new(entry);
            return;
        }
        if known.ended > 0 && now.since(known.ended_at) >= LATE_ENTRY_TIME {
            log::info!(endpoint:% = entry.id; "endpoint has not ended: its process still writes its entry");
            known.ended = 0;
        }
        if known.entry.phase != entry.phase {
            log::info!(endpoint:% = entry.id, phase:? = entry.phase; "endpoint phase changed");
        }
        known.entry = entry;
    }

    fn remove(&mut self, id: &Arc<str>, now: Timestamp) {
        let expires_at = self.contact.expires_at(now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if expires_at > now {
            log::info!(endpoint:% = id, wait_ms = millis(expires_at.since(now)); "entry missing shortly after the store recovered; endpoint kept for now");
            endpoint.expires_at.get_or_insert(expires_at);
            return;
        }
        log::info!(endpoint:% = id, service:% = endpoint.entry.service; "endpoint removed: entry deleted");
        self.gone_versions.record(&endpoint.entry.service, &endpoint.entry.version, now);
        let started_at_ms = endpoint.entry.started_at_ms;
        self.endpoints.remove(id);
        self.record_departure(id, started_at_ms, now);
    }
}
