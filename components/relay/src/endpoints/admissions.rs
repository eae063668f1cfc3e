//! Requests that this router has admitted to the brittle endpoints that it owns.
//!
//! One router, the owner, counts the requests of all routers at a brittle endpoint and admits no
//! more than it has room for. A small room cannot be divided among many routers, and what routers
//! report about their load is too old to keep many of them from sending to the same endpoint.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::{HashMap, HashSet};

use super::{brittleness::CLOSED_TIME, load::LoadShare};

/// Time after this router became the owner of an endpoint in which others may still send to it
/// without being admitted.
const SETTLING_TIME: Duration = Duration::from_secs(2);

/// Time after a change of the routers in which a new owner admits nothing, as the former one may
/// have admitted requests that their routers have not reported yet.
const REPORT_TIME: Duration = Duration::from_millis(400);

/// Age from which an admitted request that its router does not report as running has ended, and
/// its message about the end was lost.
const REPORTED_AGE: Duration = Duration::from_secs(1);

/// Time for which the requests of an unreachable router are counted.
const UNREACHABLE_TIME: Duration = Duration::from_secs(5);

/// Time after an endpoint opens again in which it is filled to the room that it had when it refused
/// a request, and the time after that in which it is filled to its capacity.
const REFILL_TIME: Duration = Duration::from_secs(2);
const REGROWTH_TIME: Duration = Duration::from_secs(10);

/// Time for which an endpoint without requests is kept.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// A request of a router to be admitted to an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionRequest {
    /// Random number of the request.
    pub number: u64,
    /// Id of the endpoint.
    pub endpoint: Arc<str>,
    /// Name of the router that wants to send it.
    pub router: Arc<str>,
    /// Share of the endpoint's capacity that requests of this priority may fill, from 0 to 1.
    pub fill_share: f64,
}

/// What the owner knows of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerView {
    /// Start time of the endpoint's process, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    /// Service of the endpoint.
    pub service: Arc<str>,
    /// Number of requests that it runs at a time.
    pub capacity: u32,
    /// When it last refused a request of any router, as far as known.
    pub refused_at: Option<Timestamp>,
    /// When the routers that may be owners last changed.
    pub owners_changed_at: Timestamp,
    /// Since when an endpoint of the service has stated that it is brittle, as far as known.
    pub brittle_since: Option<Timestamp>,
}

/// Answer to an [`AdmissionRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Admitted,
    /// There is no room now; the next request may find some.
    Full,
    /// Nothing is admitted for this time, because the endpoint refused a request.
    Closed(Duration),
}

/// A request that was admitted and has not ended.
#[derive(Debug)]
struct Admitted {
    /// Router that sends it.
    router: Arc<str>,
    /// When it was admitted.
    at: Timestamp,
}

/// Requests at one endpoint.
#[derive(Debug)]
struct Room {
    /// Admitted requests, keyed by number.
    admitted: HashMap<u64, Admitted>,
    /// Numbers of requests that were sent without being admitted, keyed by router.
    unadmitted: HashMap<Arc<str>, u32>,
    /// When this router became the owner.
    owned_since: Timestamp,
    /// When a request was last admitted or denied.
    used_at: Timestamp,
    /// When the endpoint last refused a request, and the number of others that it had then.
    refusal: Option<(Timestamp, u32)>,
}

impl Room {
    fn occupancy(&self) -> u32 {
        let admitted = u32::try_from(self.admitted.len()).unwrap_or(u32::MAX);
        admitted.saturating_add(self.unadmitted.values().sum())
    }

    fn admitted_of(&self, router: &str) -> u32 {
        let count = self.admitted.values().filter(|it| *it.router == *router).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Returns the number of requests that the endpoint may have. After a refusal it rises from one
    /// to the number that it had then, and later to `capacity`.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the number is not negative, and the cast saturates"
    )]
    fn limit(&self, capacity: u32, now: Timestamp) -> u32 {
        let Some((refused_at, held)) = self.refusal else { return capacity };
        let open_time = now.since(refused_at).saturating_sub(CLOSED_TIME);
        let held = held.clamp(1, capacity);
        let refilled = open_time.as_secs_f64() / REFILL_TIME.as_secs_f64();
        let regrown = open_time.saturating_sub(REFILL_TIME).as_secs_f64();
        let regrown = (regrown / REGROWTH_TIME.as_secs_f64()).min(1.0);
        let limit = f64::from(held) * refilled.min(1.0) + f64::from(capacity - held) * regrown;
        (limit as u32).clamp(1, capacity)
    }
}

/// The requests of all routers at the brittle endpoints that this router owns.
#[derive(Debug)]
pub struct AdmissionBook {
    /// Rooms, keyed by endpoint.
    rooms: HashMap<Arc<str>, Room>,
    /// Share of the endpoints' capacity that may be filled, from 0 to 1. Below one while most other
    /// routers cannot be reached: they have chosen other owners.
    share: f64,
    /// When `share` last rose.
    regained_at: Option<Timestamp>,
}

impl Default for AdmissionBook {
    fn default() -> AdmissionBook {
        AdmissionBook { rooms: HashMap::default(), share: 1.0, regained_at: None }
    }
}

impl AdmissionBook {
    /// Admits a request to an endpoint, or denies it. `loads` returns the number of requests that
    /// each router, this one included, has reported there.
    pub fn admit(
        &mut self,
        request: &AdmissionRequest,
        view: &OwnerView,
        loads: impl FnOnce() -> Vec<(Arc<str>, u32)>,
        now: Timestamp,
    ) -> Admission {
        let capacity = view.capacity.max(1);
        let room = self.rooms.entry(request.endpoint.clone()).or_insert_with(|| Room {
            admitted: HashMap::default(),
            unadmitted: loads().into_iter().filter(|it| it.1 > 0).collect(),
            owned_since: now,
            used_at: now,
            refusal: None,
        });
        room.used_at = now;
        if let Some(at) = view.refused_at
            && room.refusal.is_none_or(|(known, _)| at.since(known) >= CLOSED_TIME)
        {
            room.refusal = Some((at, room.occupancy()));
        }
        // A repeated request whose answer was lost.
        if room.admitted.contains_key(&request.number) {
            return Admission::Admitted;
        }
        let changed_at = view.owners_changed_at.max(self.regained_at.unwrap_or(Timestamp::ZERO));
        let had_owner = view.brittle_since.is_none_or(|it| it <= changed_at);
        if had_owner && room.owned_since >= changed_at && now.since(changed_at) <= REPORT_TIME {
            return Admission::Full;
        }
        let closed = room.refusal.map_or(Duration::ZERO, |(at, _)| (at + CLOSED_TIME).since(now));
        if !closed.is_zero() {
            return Admission::Closed(closed);
        }
        let limit = (f64::from(capacity) * request.fill_share * self.share).ceil();
        let limit = limit.min(f64::from(room.limit(capacity, now)));
        if f64::from(room.occupancy()) >= limit {
            return Admission::Full;
        }
        room.admitted.insert(request.number, Admitted { router: request.router.clone(), at: now });
        Admission::Admitted
    }

    /// Records that an admitted request has ended.
    pub fn end(&mut self, endpoint: &str, number: u64) {
        if let Some(room) = self.rooms.get_mut(endpoint) {
            room.admitted.remove(&number);
        }
    }

    /// Records that the endpoint has refused an admitted request, which is then no longer counted.
    pub fn record_refusal(&mut self, endpoint: &str, number: u64, now: Timestamp) {
        let Some(room) = self.rooms.get_mut(endpoint) else { return };
        if room.admitted.remove(&number).is_none() {
            return;
        }
        let others = room.occupancy();
        let held = match room.refusal {
            Some((at, held)) if now.since(at) < CLOSED_TIME => held.min(others),
            _ => others,
        };
        room.refusal = Some((now, held));
    }

    /// Corrects the requests of a router by those that it reports as running.
    pub fn reconcile(&mut self, router: &Arc<str>, loads: &[LoadShare], now: Timestamp) {
        for (endpoint, room) in &mut self.rooms {
            let reported = loads.iter().find(|it| it.endpoint == *endpoint);
            let reported = reported.map_or(0, |it| it.load.requests);
            let is_settling = now.since(room.owned_since) <= SETTLING_TIME;
            let unadmitted = if is_settling {
                reported.saturating_sub(room.admitted_of(router))
            } else {
                room.unadmitted.get(router).map_or(0, |it| reported.min(*it))
            };
            if unadmitted > 0 {
                room.unadmitted.insert(router.clone(), unadmitted);
            } else {
                room.unadmitted.remove(router);
            }
            let is_old = |it: &Admitted| it.router == *router && now.since(it.at) > REPORTED_AGE;
            let mut old: Vec<(Timestamp, u64)> = room
                .admitted
                .iter()
                .filter(|(_, it)| is_old(it))
                .map(|(number, it)| (it.at, *number))
                .collect();
            old.sort_unstable();
            let ended = old.len().saturating_sub(reported as usize);
            for (_, number) in old.into_iter().take(ended) {
                room.admitted.remove(&number);
            }
        }
    }

    /// Sets the share of the endpoints' capacity that may be filled, from 0 to 1. If it rises, this
    /// router becomes the owner anew: others may have admitted requests in the meantime.
    pub fn set_share(&mut self, share: f64, now: Timestamp) {
        if share > self.share {
            self.rooms.values_mut().for_each(|it| it.owned_since = now);
            self.regained_at = Some(now);
        }
        self.share = share;
    }

    /// Forgets the requests of routers that are not in `live`, and endpoints that this router no
    /// longer owns or that get no requests.
    pub fn expire(
        &mut self,
        live: &HashSet<Arc<str>>,
        mut is_owned: impl FnMut(&str) -> bool,
        now: Timestamp,
    ) {
        self.rooms.retain(|id, it| now.since(it.used_at) <= IDLE_TIME && is_owned(id));
        for room in self.rooms.values_mut() {
            room.admitted
                .retain(|_, it| live.contains(&it.router) || now.since(it.at) <= UNREACHABLE_TIME);
            let is_settling = now.since(room.owned_since) <= UNREACHABLE_TIME;
            room.unadmitted.retain(|router, _| is_settling || live.contains(router));
        }
    }
}
