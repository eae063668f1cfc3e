//! Tells an endpoint that is down from a network path that is cut.
//!
//! A failed connection alone shows neither. If another router opens a connection to the same
//! endpoint at that moment, the endpoint is up and this router's path to it is blocked. If that
//! happens with several endpoints of a service and no connection succeeds in between, the router
//! counts as cut off from the whole service.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::{HashMap, HashSet, Rng, jitter};

/// Number of blocked endpoints of a service from which on the router counts as cut off from it.
const CUT_OFF_MIN: usize = 2;

/// Mean time between two attempts to open a direct connection to a service while it is cut off.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a router that could not help is not asked again about the same service.
const PEER_AVOIDANCE_TIME: Duration = Duration::from_secs(1);

/// Time for which a router's statement about its own paths holds: four of its send intervals.
const PEER_STATEMENT_MAX_AGE: Duration = Duration::from_millis(1_200);

/// Time since an endpoint of a service was last reached up to which a router says that it reaches the
/// service. Requests that are in progress at the other routers take about as long to fail.
const REACHED_MAX_AGE: Duration = Duration::from_millis(1_200);

/// How a connection to an endpoint is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// By this router itself.
    Direct,
    /// Through another router.
    ThroughPeer {
        /// Whether to find out, besides, if a direct connection can be opened again.
        is_trial_due: bool,
    },
}

/// Contact to the endpoints of one service.
#[derive(Debug, Default)]
struct ServiceContact {
    /// Endpoints that another router reaches and this one does not, and since when.
    blocked: HashMap<Arc<str>, Timestamp>,
    /// When this router last opened a connection itself.
    reached_at: Option<Timestamp>,
    /// When an answer last arrived on a connection that this router opened itself. Such connections
    /// may go on working while no new ones can be opened.
    answered_at: Option<Timestamp>,
    /// Whether the router counts as cut off from the service.
    is_cut_off: bool,
    /// When a direct connection may be tried again.
    next_trial_at: Timestamp,
}

/// What is known about the paths of another router.
#[derive(Debug, Default)]
struct PeerPaths {
    /// Services from which it said that it is cut off.
    cut_off: HashSet<Arc<str>>,
    /// Services that it said it reaches.
    reached: HashSet<Arc<str>>,
    /// When it said so.
    stated_at: Timestamp,
    /// Services to whose endpoints it could open no connection, and until when it is not asked.
    avoided_until: HashMap<Arc<str>, Timestamp>,
}

/// Paths of this router to the endpoints, and what is known of other routers' paths.
#[derive(Debug, Default)]
pub struct PathBook {
    /// Contact to services with a blocked endpoint or a recent connection, keyed by name.
    services: HashMap<Arc<str>, ServiceContact>,
    /// Paths of other routers, keyed by their names.
    peers: HashMap<Arc<str>, PeerPaths>,
}

impl PathBook {
    /// Returns how to connect to an endpoint. A due trial counts as begun.
    pub fn path(&mut self, service: &str, endpoint: &str, now: Timestamp, rng: &mut Rng) -> Path {
        let Some(contact) = self.services.get_mut(service) else { return Path::Direct };
        if !contact.is_cut_off && !contact.blocked.contains_key(endpoint) {
            return Path::Direct;
        }
        let is_trial_due = contact.next_trial_at <= now;
        if is_trial_due {
            contact.next_trial_at = now + jitter(TRIAL_INTERVAL, rng);
        }
        Path::ThroughPeer { is_trial_due }
    }

    /// Reports whether this router cannot reach an endpoint itself, as far as it knows.
    pub fn is_blocked(&self, service: &str, endpoint: &str) -> bool {
        let contact = self.services.get(service);
        contact.is_some_and(|it| it.is_cut_off || it.blocked.contains_key(endpoint))
    }

    /// Records that this router opened a connection to an endpoint itself. Returns whether it was
    /// cut off from the service.
    pub fn record_direct(&mut self, service: &Arc<str>, endpoint: &str, now: Timestamp) -> bool {
        let contact = self.services.entry(service.clone()).or_default();
        contact.blocked.remove(endpoint);
        contact.reached_at = Some(now);
        // The other endpoints are likely to be within reach, too.
        contact.next_trial_at = now;
        std::mem::take(&mut contact.is_cut_off)
    }

    /// Records that an answer arrived on a connection that this router opened itself.
    pub fn record_answer(&mut self, service: &Arc<str>, now: Timestamp) {
        self.services.entry(service.clone()).or_default().answered_at = Some(now);
    }

    /// Records that another router reaches an endpoint that this one does not. Returns whether this
    /// router now counts as cut off from the service, and did not before.
    pub fn record_blocked(
        &mut self,
        service: &Arc<str>,
        endpoint: &Arc<str>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> bool {
        let contact = self.services.entry(service.clone()).or_default();
        contact.blocked.entry(endpoint.clone()).or_insert(now);
        contact.next_trial_at = now + jitter(TRIAL_INTERVAL, rng);
        let reached_at = contact.reached_at;
        let is_since = |at: &&Timestamp| reached_at.is_none_or(|reached| reached < **at);
        let blocked = contact.blocked.values().filter(is_since).count();
        let was_cut_off = contact.is_cut_off;
        contact.is_cut_off |= blocked >= CUT_OFF_MIN;
        contact.is_cut_off && !was_cut_off
    }

    /// Forgets endpoints for which `is_known` returns `false`, and routers that are gone.
    pub fn prune(&mut self, is_known: impl Fn(&str) -> bool, is_router: impl Fn(&str) -> bool) {
        for contact in self.services.values_mut() {
            contact.blocked.retain(|endpoint, _| is_known(endpoint));
            contact.is_cut_off &= !contact.blocked.is_empty();
        }
        self.peers.retain(|router, _| is_router(router));
    }

    /// Returns the services from which this router is cut off.
    pub fn cut_off_services(&self) -> Vec<Arc<str>> {
        let cut_off = self.services.iter().filter(|(_, it)| it.is_cut_off);
        let mut names: Vec<Arc<str>> = cut_off.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Returns the services whose endpoints this router has reached a moment ago.
    pub fn reached_services(&self, now: Timestamp) -> Vec<Arc<str>> {
        let is_reached = |it: &ServiceContact| {
            let at = it.reached_at.max(it.answered_at);
            !it.is_cut_off && at.is_some_and(|at| now.since(at) <= REACHED_MAX_AGE)
        };
        let reached = self.services.iter().filter(|(_, it)| is_reached(it));
        let mut names: Vec<Arc<str>> = reached.map(|(name, _)| name.clone()).collect();
        names.sort_unstable();
        names
    }

    /// Records from which services another router says that it is cut off, and which it reaches.
    pub fn record_peer_statement(
        &mut self,
        router: &Arc<str>,
        cut_off: HashSet<Arc<str>>,
        reached: HashSet<Arc<str>>,
        now: Timestamp,
    ) {
        if cut_off.is_empty() && reached.is_empty() && !self.peers.contains_key(router) {
            return;
        }
        let peer = self.peers.entry(router.clone()).or_default();
        peer.cut_off = cut_off;
        peer.reached = reached;
        peer.stated_at = now;
    }

    /// Reports whether another router has said a moment ago that it reaches a service. Routers of
    /// earlier builds do not say so.
    pub fn is_reaching_peer(&self, router: &str, service: &str, now: Timestamp) -> bool {
        self.peers.get(router).is_some_and(|peer| {
            now.since(peer.stated_at) <= PEER_STATEMENT_MAX_AGE && peer.reached.contains(service)
        })
    }

    /// Records that another router could not help to reach a service.
    pub fn avoid_peer(&mut self, router: &Arc<str>, service: &Arc<str>, now: Timestamp) {
        let peer = self.peers.entry(router.clone()).or_default();
        peer.avoided_until.insert(service.clone(), now + PEER_AVOIDANCE_TIME);
    }

    /// Reports whether another router may reach the endpoints of a service.
    pub fn is_usable_peer(&self, router: &str, service: &str, now: Timestamp) -> bool {
        let Some(peer) = self.peers.get(router) else { return true };
        let is_recent = now.since(peer.stated_at) <= PEER_STATEMENT_MAX_AGE;
        let is_cut_off = is_recent && peer.cut_off.contains(service);
        !is_cut_off && peer.avoided_until.get(service).is_none_or(|until| *until <= now)
    }
}
