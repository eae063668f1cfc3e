//! The other routers of the fleet, and when each was last known to be alive.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use types::Timestamp;
use utils::{HashMap, HashSet, stable_hash};

use super::RouterLoad;
use crate::{
    allowance::{HolderCandidate, RouterProcess},
    room::RouterRoom,
};

/// Time since a router was last known to be alive after which new callers are no longer sent to
/// it: four send intervals.
const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time since a router was last known to be alive after which it is removed from the roster.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time since a router was last known to be alive after which callers are not sent to it even if no router
/// is alive. Lists must not name a router that ended more than about six seconds ago.
const LAST_RESORT_TIMEOUT: Duration = Duration::from_millis(5_500);

/// State of another router.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Name, kept across restarts.
    pub name: Arc<str>,
    /// Random process number, chosen at each start of the router.
    pub process: u64,
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// UDP address for messages from other routers.
    pub peer_address: SocketAddr,
    /// Failure domain of its host.
    pub failure_domain: Arc<str>,
    /// Whether it accepts new callers.
    pub is_ready: bool,
    /// Version of the desired state in force on it; zero if there is none.
    pub config_version: u64,
    /// Processor capacity of its host, in thousandths of a core.
    pub processor_millis: u32,
    /// Rate of callers' requests, in requests per second.
    pub arrivals_per_s: u32,
    /// Limits of its host, and what it uses of them.
    pub room: RouterRoom,
}

impl Member {
    /// Returns its request rate and processor capacity.
    pub fn load(&self) -> RouterLoad {
        RouterLoad {
            arrivals_per_s: f64::from(self.arrivals_per_s),
            processor_millis: self.processor_millis,
        }
    }
}

/// State that a router reports about itself.
pub type SelfStatus = Member;

/// Report that a router was alive, passed on by another router.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessReport {
    /// Key of the process that was alive; see [`process_key`].
    pub process_key: u64,
    /// Time since it was last known to be alive.
    pub age: Duration,
    /// Whether it accepted new callers at that time.
    pub is_ready: bool,
}

/// Returns a short key that identifies a router's process in liveness reports. A collision
/// between two processes of a fleet is very unlikely; if one happens, reports about one process
/// also keep the other alive.
pub fn process_key(member: &Member) -> u64 {
    stable_hash(&[member.name.as_bytes(), &member.process.to_le_bytes()])
}

fn process_of(member: &Member) -> RouterProcess {
    RouterProcess { router: member.name.clone(), process: member.process }
}

/// A member and its liveness.
#[derive(Debug)]
struct Entry {
    /// Its last reported state.
    member: Member,
    /// When it was last known to be alive; `None` if it is only listed in the store.
    last_seen: Option<Timestamp>,
    /// When this entry was created from the router's row, or last replaced by a status message.
    listed_at: Timestamp,
    /// Whether [`Roster::expire`] found it unreachable and it has not been alive since.
    is_unreachable: bool,
    /// Whether it keeps and confirms notices of draws.
    keeps_draws: bool,
    /// Whether it limits what it sends to cold endpoints, as builds since this one do.
    paces_cold_endpoints: bool,
}

/// Other routers that confirm notices of draws.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrawWitnesses {
    /// Number of the known ones.
    pub known: usize,
    /// Peer addresses of those that are alive.
    pub live: Vec<SocketAddr>,
}

impl Entry {
    /// Returns the process, and when it was last known to be alive or was listed.
    fn process_and_time(&self) -> (RouterProcess, Timestamp) {
        (process_of(&self.member), self.last_seen.unwrap_or(self.listed_at))
    }

    fn is_live(&self, now: Timestamp) -> bool {
        self.last_seen.is_some_and(|at| now.since(at) <= LIVENESS_TIMEOUT)
    }
}

/// The other routers that this one knows.
#[derive(Debug, Default)]
pub struct Roster {
    /// Members by name.
    entries: HashMap<Arc<str>, Entry>,
    /// Router names by process key; may still hold keys of earlier processes.
    names_by_key: HashMap<u64, Arc<str>>,
    /// Processes that were replaced by others of the same router, and when each was last known to be
    /// alive.
    replaced: Vec<(RouterProcess, Timestamp)>,
}

impl Roster {
    /// Records a status message that a router sent itself.
    pub fn record_status(&mut self, member: Member, now: Timestamp) {
        let entry = self.entries.entry(member.name.clone()).or_insert_with(|| {
            log::info!(router:% = member.name, address:% = member.caller_address; "router found");
            Entry {
                member: member.clone(),
                last_seen: None,
                listed_at: now,
                is_unreachable: false,
                keeps_draws: false,
                paces_cold_endpoints: true,
            }
        });
        if entry.member.process != member.process {
            self.replaced.push(entry.process_and_time());
        }
        if entry.is_unreachable {
            log::info!(router:% = member.name; "router reachable again");
        }
        if entry.member.is_ready != member.is_ready {
            log::info!(router:% = member.name, ready = member.is_ready; "router changed its readiness");
        }
        self.names_by_key.insert(process_key(&member), member.name.clone());
        let (keeps_draws, paces_cold_endpoints) = (entry.keeps_draws, entry.paces_cold_endpoints);
        *entry = Entry {
            member,
            last_seen: Some(now),
            listed_at: now,
            is_unreachable: false,
            keeps_draws,
            paces_cold_endpoints,
        };
    }

    /// Records a liveness report from another router. Reports that are older than what is
    /// known, and reports about unknown processes, are ignored.
    pub fn record_report(&mut self, report: &LivenessReport, now: Timestamp) {
        let name = self.names_by_key.get(&report.process_key);
        let Some(entry) = name.and_then(|it| self.entries.get_mut(it)) else { return };
        let last_seen = now - report.age;
        let is_newer = entry.last_seen.is_none_or(|known| known < last_seen);
        let is_same = process_key(&entry.member) == report.process_key;
        if is_newer && is_same && report.age <= LIVENESS_TIMEOUT {
            entry.last_seen = Some(last_seen);
            entry.member.is_ready = report.is_ready;
            entry.is_unreachable = false;
        }
    }

    /// Returns a report on each router that is alive, known directly or through reports of others.
    pub fn liveness_reports(&self, now: Timestamp) -> impl Iterator<Item = LivenessReport> {
        let entries = self.entries.values().filter(move |it| it.is_live(now));
        entries.filter_map(move |it| {
            Some(LivenessReport {
                process_key: process_key(&it.member),
                age: now.since(it.last_seen?),
                is_ready: it.member.is_ready,
            })
        })
    }

    /// Returns the peer addresses of the known routers in a failure domain.
    pub fn addresses_in(&self, failure_domain: &str) -> HashSet<SocketAddr> {
        let members = self.entries.values().map(|it| &it.member);
        let near = members.filter(|it| *it.failure_domain == *failure_domain);
        near.map(|it| it.peer_address).collect()
    }

    /// Adds a router that is listed in the store. A router that is alive, or whose process is
    /// already known, keeps its entry.
    pub fn add_listed(&mut self, member: Member, now: Timestamp) {
        let is_new = match self.entries.get(&member.name) {
            None => true,
            Some(entry) => entry.member.process != member.process && !entry.is_live(now),
        };
        if is_new {
            self.names_by_key.insert(process_key(&member), member.name.clone());
            let entry = Entry {
                member,
                last_seen: None,
                listed_at: now,
                is_unreachable: false,
                keeps_draws: false,
                paces_cold_endpoints: true,
            };
            let former = self.entries.insert(entry.member.name.clone(), entry);
            self.replaced.extend(former.map(|it| it.process_and_time()));
        }
    }

    /// Logs routers that have become unreachable, and removes those that have been unreachable or
    /// only listed for `REMOVAL_TIMEOUT`.
    pub fn expire(&mut self, now: Timestamp) {
        for (name, entry) in &mut self.entries {
            if !entry.is_unreachable && entry.last_seen.is_some() && !entry.is_live(now) {
                entry.is_unreachable = true;
                log::warn!(router:% = name; "router unreachable");
            }
        }
        self.entries
            .retain(|_, it| now.since(it.last_seen.unwrap_or(it.listed_at)) < REMOVAL_TIMEOUT);
        self.names_by_key.retain(|_, name| self.entries.contains_key(name));
        self.replaced.retain(|(_, at)| now.since(*at) < REMOVAL_TIMEOUT);
    }

    /// Records whether a router keeps and confirms notices of draws.
    pub fn record_keeps_draws(&mut self, router: &str, keeps_draws: bool) {
        if let Some(entry) = self.entries.get_mut(router) {
            entry.keeps_draws = keeps_draws;
        }
    }

    /// Records whether a router limits what it sends to cold endpoints.
    pub fn record_paces_cold_endpoints(&mut self, router: &str, paces: bool) {
        if let Some(entry) = self.entries.get_mut(router) {
            entry.paces_cold_endpoints = paces;
        }
    }

    /// Returns the other routers among which cold endpoints are dealt out: those of
    /// [`limit_sharers`](Self::limit_sharers) that do not belong to an earlier build.
    pub fn cold_owners(&self, now: Timestamp) -> Vec<Arc<str>> {
        let mut owners = self.limit_sharers(now);
        owners.retain(|it| self.entries.get(it).is_some_and(|it| it.paces_cold_endpoints));
        owners
    }

    /// Returns the other routers that confirm notices of draws.
    pub fn draw_witnesses(&self, now: Timestamp) -> DrawWitnesses {
        let keeping = self.entries.values().filter(|it| it.keeps_draws);
        let live = keeping.clone().filter(|it| it.is_live(now));
        let live = live.map(|it| it.member.peer_address).collect();
        DrawWitnesses { known: keeping.count(), live }
    }

    /// Returns the processes of other routers that were alive within `time`, or may have been: of those
    /// that are only listed, it is not known.
    pub fn recent_processes(&self, time: Duration, now: Timestamp) -> Vec<RouterProcess> {
        let current = self.entries.values().map(Entry::process_and_time);
        let all = current.chain(self.replaced.iter().cloned());
        all.filter(|(_, at)| now.since(*at) <= time).map(|(it, _)| it).collect()
    }

    /// Returns the peer addresses of all known routers.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|it| it.member.peer_address).collect()
    }

    /// Returns the processes of the live routers, sorted by router name.
    pub fn live_processes(&self, now: Timestamp) -> Vec<RouterProcess> {
        let live = self.entries.values().filter(|it| it.is_live(now));
        let mut processes: Vec<RouterProcess> = live.map(|it| process_of(&it.member)).collect();
        processes.sort_by(|a, b| a.router.cmp(&b.router));
        processes
    }

    /// Returns the routers that may become holders: those that are alive and ready.
    /// `include_listed` adds those that are only listed in the store.
    pub fn holder_candidates(&self, include_listed: bool, now: Timestamp) -> Vec<HolderCandidate> {
        let is_candidate = |it: &&Entry| match it.last_seen {
            Some(_) => it.is_live(now) && it.member.is_ready,
            None => include_listed,
        };
        let eligible = self.entries.values().filter(is_candidate);
        let candidates = eligible.map(|it| HolderCandidate {
            name: it.member.name.clone(),
            failure_domain: it.member.failure_domain.clone(),
            processor_millis: it.member.processor_millis,
        });
        candidates.collect()
    }

    /// Returns the routers that share endpoints' rate limits with this one: those that are alive
    /// and accept callers. If most of the known ones are unreachable, this router may itself be
    /// cut off, and all known ones are returned, so that it keeps to its former share.
    pub fn limit_sharers(&self, now: Timestamp) -> Vec<Arc<str>> {
        let is_cut_off = self.reachable_share(now) < 1.0;
        let shares = |it: &&Entry| is_cut_off || it.is_live(now) && it.member.is_ready;
        self.entries.values().filter(shares).map(|it| it.member.name.clone()).collect()
    }

    /// Returns the share of the known routers, this one included, that are alive if most of the others
    /// are unreachable, so that this router may itself be cut off; otherwise one.
    pub fn reachable_share(&self, now: Timestamp) -> f64 {
        let live = self.entries.values().filter(|it| it.is_live(now)).count();
        if live * 2 < self.entries.len() {
            (live + 1) as f64 / (self.entries.len() + 1) as f64
        } else {
            1.0
        }
    }

    /// Returns the loads of the routers that are alive and accept new callers.
    pub fn loads(&self, now: Timestamp) -> Vec<RouterLoad> {
        let ready = self.entries.values().filter(|it| it.is_live(now) && it.member.is_ready);
        ready.map(|it| it.member.load()).collect()
    }

    /// Returns the rooms of the routers that are alive and accept new callers.
    pub fn rooms(&self, now: Timestamp) -> Vec<RouterRoom> {
        let ready = self.entries.values().filter(|it| it.is_live(now) && it.member.is_ready);
        ready.map(|it| it.member.room).collect()
    }

    /// Returns whether a router is alive and accepts new callers.
    pub fn is_ready(&self, router: &str, now: Timestamp) -> bool {
        self.entries.get(router).is_some_and(|it| it.is_live(now) && it.member.is_ready)
    }

    /// Returns whether no other router is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the failure domain of a router; `None` if the router is unknown.
    pub fn failure_domain(&self, router: &str) -> Option<&Arc<str>> {
        self.entries.get(router).map(|it| &it.member.failure_domain)
    }

    /// Returns the address of a router for peer messages; `None` if the router is unknown.
    pub fn peer_address(&self, router: &str) -> Option<SocketAddr> {
        self.entries.get(router).map(|it| it.member.peer_address)
    }

    /// Returns the routers that accept new callers. If none is alive, this router may itself be
    /// cut off from the network, and readiness alone decides for those that were alive or listed a short
    /// while ago.
    pub fn ready_members(&self, now: Timestamp) -> Vec<&Member> {
        let is_any_live = self.entries.values().any(|it| it.is_live(now));
        let entries = self.entries.values();
        let is_last_resort =
            |it: &Entry| now.since(it.last_seen.unwrap_or(it.listed_at)) <= LAST_RESORT_TIMEOUT;
        let usable = entries.filter(|it| it.is_live(now) || !is_any_live && is_last_resort(it));
        usable.map(|it| &it.member).filter(|it| it.is_ready).collect()
    }

    /// Returns all known routers, and whether each is alive.
    pub fn members(&self, now: Timestamp) -> impl Iterator<Item = (&Member, bool)> {
        self.entries.values().map(move |it| (&it.member, it.is_live(now)))
    }

    /// Returns the number of known routers, this one included. Unreachable ones count until they
    /// are removed.
    pub fn count(&self) -> usize {
        self.entries.len() + 1
    }
}
