//! State of one endpoint as this router knows it.

use std::{sync::Arc, time::Duration};

use routing::EndpointSpeed;
use types::Timestamp;
use utils::{HashMap, stable_hash};

use super::{
    brittleness::Brittleness,
    cold::Warmth,
    health::Health,
    load::Load,
    pause::Pause,
    rate_limit::{NextRequest, StatedRate},
    unreached::Unreached,
};
use crate::model::{EndpointEntry, EndpointPhase};

/// Age above which the load that another router reported is ignored.
const PEER_LOAD_MAX_AGE: Duration = Duration::from_millis(3_000);

/// State of one endpoint.
#[derive(Debug)]
pub(super) struct Endpoint {
    /// Latest entry in the platform's list.
    pub(super) entry: EndpointEntry,
    /// Load of this router's requests.
    pub(super) own_load: Load,
    /// Load of other routers' requests and the time of the report, keyed by router.
    pub(super) peer_loads: HashMap<Arc<str>, (Load, Timestamp)>,
    /// Number of times that its process ended, as seen by this router, since its entry was written.
    /// Above zero, the entry is that of an earlier process.
    pub(super) ended: u32,
    /// When its process was last seen to have ended.
    pub(super) ended_at: Timestamp,
    /// Failures seen by this router's requests.
    pub(super) health: Health,
    /// Set if neither this router nor another one could connect to it when last tried.
    pub(super) unreached: Option<Unreached>,
    /// Rate limit that it states or has stated until recently; `None` if it states none.
    pub(super) rate: Option<StatedRate>,
    /// Whether it is cold, and what this router may send it then.
    pub(super) warmth: Warmth,
    /// Whether it states that it is shutting down.
    pub(super) is_leaving: bool,
    /// Pause that it has asked this router for. Unlike after a failure (see `health`), nothing is sent
    /// to it even if no other endpoint has capacity.
    pub(super) pause: Option<Pause>,
    /// Its latest statement about whether it is brittle; `None` if no answer has arrived.
    pub(super) brittleness: Option<Brittleness>,
    /// When it last refused a request while it was brittle.
    pub(super) refused_at: Option<Timestamp>,
    /// Time before which the router that admits requests to it, being brittle, admits none.
    pub(super) denied_until: Timestamp,
    /// Router that admits requests to it while it is brittle; `None` if it has to be computed.
    pub(super) owner: Option<Arc<str>>,
    /// Identifies it in reports on speed.
    pub(super) speed_key: u32,
    /// What is known of its speed.
    pub(super) speed: EndpointSpeed,
    /// When the endpoint is removed unless its entry comes back; set if the entry went missing
    /// shortly after an outage of the store.
    pub(super) expires_at: Option<Timestamp>,
}

impl Endpoint {
    /// Creates the state of an endpoint without load or failures.
    pub(super) fn new(entry: EndpointEntry) -> Endpoint {
        Endpoint {
            speed_key: speed_key_of(&entry.id),
            speed: EndpointSpeed::default(),
            entry,
            own_load: Load::default(),
            peer_loads: HashMap::default(),
            ended: 0,
            ended_at: Timestamp::ZERO,
            health: Health::default(),
            unreached: None,
            rate: None,
            warmth: Warmth::new(),
            is_leaving: false,
            pause: None,
            brittleness: None,
            refused_at: None,
            denied_until: Timestamp::ZERO,
            owner: None,
            expires_at: None,
        }
    }

    /// Returns the rate limit that it states.
    pub(super) fn limit_per_s(&self) -> Option<f64> {
        self.rate.and_then(|it| it.per_s())
    }

    /// Reports whether it accepts new requests, by its entry and its own statements.
    pub(super) fn is_in_service(&self) -> bool {
        self.entry.phase == EndpointPhase::Ready && !self.is_leaving
    }

    /// Returns when this router may send it the next request, by the rate limit and the pause that
    /// it states and, if it is brittle, by its refusals and its owner's denials.
    pub(super) fn next_request(&self, is_brittle: bool, now: Timestamp) -> NextRequest {
        let by_rate = self.rate.map_or(NextRequest::Now, |it| it.next_request(now));
        let paused_until = self.pause.map_or(Timestamp::ZERO, |it| it.until);
        let closed_until = if is_brittle { self.closed_until() } else { Timestamp::ZERO };
        let until = paused_until.max(closed_until);
        if now < until { by_rate.max(NextRequest::At(until)) } else { by_rate }
    }

    /// Returns the load of all routers' requests, leaving out outdated reports.
    pub(super) fn total_load(&self, now: Timestamp) -> Load {
        let mut total = self.own_load;
        self.fresh_peer_loads(now).for_each(|(_, it)| total.add(it));
        total
    }

    /// Returns the load that other routers have reported, leaving out outdated reports.
    pub(super) fn fresh_peer_loads(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&Arc<str>, Load)> {
        let loads = self.peer_loads.iter().map(|(router, (load, at))| (router, *load, *at));
        let fresh = loads.filter(move |it| now.since(it.2) <= PEER_LOAD_MAX_AGE);
        fresh.map(|(router, load, _)| (router, load))
    }
}

/// Returns the key of an endpoint in reports on speed; the same on every router.
pub(super) fn speed_key_of(id: &str) -> u32 {
    #[allow(clippy::cast_possible_truncation, reason = "part of a hash")]
    let key = stable_hash(&[id.as_bytes()]) as u32;
    key
}
