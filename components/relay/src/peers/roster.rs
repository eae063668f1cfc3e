//! The routers that this one knows, and when each was last heard.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use types::Timestamp;
use utils::{HashMap, HashSet, stable_hash};

use super::RouterLoad;
use crate::allowance::{HolderCandidate, RouterProcess};

/// Time without a message after which a router gets no new callers: four messages.
const HEARD_TIME: Duration = Duration::from_millis(1_200);

/// Time after which a router that is not heard is no longer counted.
const FORGET_TIME: Duration = Duration::from_secs(20);

/// Another router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name.
    pub name: Arc<str>,
    /// Process; another process of the same name has another one.
    pub process: u64,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other routers.
    pub peer_address: SocketAddr,
    /// Failure domain.
    pub failure_domain: Arc<str>,
    /// Whether it takes new callers.
    pub is_ready: bool,
    /// Version of the desired state in force there.
    pub config_version: u64,
    /// Processor that it has, in thousandths of a core.
    pub processor_millis: u32,
    /// Requests of callers that arrive there in a second.
    pub arrivals_per_s: u32,
}

impl Member {
    /// Returns its requests beside its processor.
    pub fn load(&self) -> RouterLoad {
        RouterLoad {
            arrivals_per_s: f64::from(self.arrivals_per_s),
            processor_millis: self.processor_millis,
        }
    }
}

/// What a router says of itself: the same as of others.
pub type SelfStatus = Member;

/// What a router has heard of another one, for other routers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Key of the process that was heard; see [`process_key`].
    pub process_key: u64,
    /// Time since.
    pub age: Duration,
    /// Whether it took new callers then.
    pub is_ready: bool,
}

/// Returns a short key of a router's process, for messages about it. Two processes of a
/// fleet practically never have the same; if so, one passes for alive with the other.
pub fn process_key(member: &Member) -> u64 {
    stable_hash(&[member.name.as_bytes(), &member.process.to_le_bytes()])
}

/// A member with what is believed of it.
#[derive(Debug)]
struct Entry {
    /// What it last said.
    member: Member,
    /// When it was last heard; `None` where only the table names it.
    heard_at: Option<Timestamp>,
    /// When it was first named.
    named_at: Timestamp,
    /// Whether it was silent at the last check.
    is_silent: bool,
}

impl Entry {
    fn is_heard(&self, now: Timestamp) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) <= HEARD_TIME)
    }
}

/// The other routers that this one knows.
#[derive(Debug, Default)]
pub struct Roster {
    /// Members by name.
    entries: HashMap<Arc<str>, Entry>,
    /// Names by the keys of their present processes; may hold keys of earlier ones.
    names: HashMap<u64, Arc<str>>,
}

impl Roster {
    /// Notes a message of a router.
    pub fn hear(&mut self, member: Member, now: Timestamp) {
        let entry = self.entries.entry(member.name.clone()).or_insert_with(|| {
            log::info!(router:% = member.name, address:% = member.caller_address; "router found");
            Entry { member: member.clone(), heard_at: None, named_at: now, is_silent: false }
        });
        if entry.is_silent {
            log::info!(router:% = member.name; "router is back");
        }
        if entry.member.is_ready != member.is_ready {
            log::info!(router:% = member.name, ready = member.is_ready; "router changed its readiness");
        }
        self.names.insert(process_key(&member), member.name.clone());
        *entry = Entry { member, heard_at: Some(now), named_at: now, is_silent: false };
    }

    /// Notes what another router has heard. Older news, and news of processes that this
    /// router does not know, change nothing.
    pub fn hear_of(&mut self, heard: &Heard, now: Timestamp) {
        let name = self.names.get(&heard.process_key);
        let Some(entry) = name.and_then(|it| self.entries.get_mut(it)) else { return };
        let heard_at = now - heard.age;
        let is_news = entry.heard_at.is_none_or(|known| known < heard_at);
        let is_same = process_key(&entry.member) == heard.process_key;
        if is_news && is_same && heard.age <= HEARD_TIME {
            entry.heard_at = Some(heard_at);
            entry.member.is_ready = heard.is_ready;
            entry.is_silent = false;
        }
    }

    /// Returns what this router has heard, directly or through others.
    pub fn heard(&self, now: Timestamp) -> impl Iterator<Item = Heard> {
        let entries = self.entries.values().filter(move |it| it.is_heard(now));
        entries.filter_map(move |it| {
            Some(Heard {
                process_key: process_key(&it.member),
                age: now.since(it.heard_at?),
                is_ready: it.member.is_ready,
            })
        })
    }

    /// Returns the addresses of the routers in a failure domain.
    pub fn addresses_in(&self, failure_domain: &str) -> HashSet<SocketAddr> {
        let members = self.entries.values().map(|it| &it.member);
        let near = members.filter(|it| *it.failure_domain == *failure_domain);
        near.map(|it| it.peer_address).collect()
    }

    /// Notes a router that the table names.
    pub fn name(&mut self, member: Member, now: Timestamp) {
        let is_new = match self.entries.get(&member.name) {
            None => true,
            Some(entry) => entry.member.process != member.process && !entry.is_heard(now),
        };
        if is_new {
            self.names.insert(process_key(&member), member.name.clone());
            let entry = Entry { member, heard_at: None, named_at: now, is_silent: false };
            self.entries.insert(entry.member.name.clone(), entry);
        }
    }

    /// Logs routers that have fallen silent and drops those that are silent for long.
    pub fn expire(&mut self, now: Timestamp) {
        for (name, entry) in &mut self.entries {
            if !entry.is_silent && entry.heard_at.is_some() && !entry.is_heard(now) {
                entry.is_silent = true;
                log::warn!(router:% = name; "router not heard any more");
            }
        }
        self.entries.retain(|_, it| now.since(it.heard_at.unwrap_or(it.named_at)) < FORGET_TIME);
        self.names.retain(|_, name| self.entries.contains_key(name));
    }

    /// Returns the routers to which messages go.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|it| it.member.peer_address).collect()
    }

    /// Returns the processes of the routers that are heard, in the order of their names.
    pub fn heard_processes(&self, now: Timestamp) -> Vec<RouterProcess> {
        let heard = self.entries.values().filter(|it| it.is_heard(now));
        let mut processes: Vec<RouterProcess> = heard
            .map(|it| RouterProcess { router: it.member.name.clone(), process: it.member.process })
            .collect();
        processes.sort_by(|a, b| a.router.cmp(&b.router));
        processes
    }

    /// Returns the routers that are heard and stay, as candidates for holders. `with_named`
    /// adds those that only the table names.
    pub fn holder_candidates(&self, with_named: bool, now: Timestamp) -> Vec<HolderCandidate> {
        let is_candidate = |it: &&Entry| match it.heard_at {
            Some(_) => it.is_heard(now) && it.member.is_ready,
            None => with_named,
        };
        let staying = self.entries.values().filter(is_candidate);
        let candidates = staying.map(|it| HolderCandidate {
            name: it.member.name.clone(),
            failure_domain: it.member.failure_domain.clone(),
            processor_millis: it.member.processor_millis,
        });
        candidates.collect()
    }

    /// Returns the loads of the routers that are heard and take callers.
    pub fn loads(&self, now: Timestamp) -> Vec<RouterLoad> {
        let ready = self.entries.values().filter(|it| it.is_heard(now) && it.member.is_ready);
        ready.map(|it| it.member.load()).collect()
    }

    /// Tells whether any other router is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the failure domain of a router.
    pub fn failure_domain(&self, router: &str) -> Option<&Arc<str>> {
        self.entries.get(router).map(|it| &it.member.failure_domain)
    }

    /// Returns the address of a router for messages.
    pub fn peer_address(&self, router: &str) -> Option<SocketAddr> {
        self.entries.get(router).map(|it| it.member.peer_address)
    }

    /// Returns the routers that take new callers. Where none is heard, this router may be
    /// the one that is cut off, and all known ones are returned.
    pub fn ready_members(&self, now: Timestamp) -> Vec<&Member> {
        let is_any_heard = self.entries.values().any(|it| it.is_heard(now));
        let entries = self.entries.values();
        let usable = entries.filter(|it| it.is_heard(now) || !is_any_heard);
        usable.map(|it| &it.member).filter(|it| it.is_ready).collect()
    }

    /// Returns the number of routers, this one included, that are alive or may be.
    pub fn count(&self) -> usize {
        self.entries.len() + 1
    }
}
