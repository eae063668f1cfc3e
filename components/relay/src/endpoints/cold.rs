//! Endpoints that have just started: they take few requests a second from all routers together, and
//! crash if they get many more.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::{HashMap, stable_hash};

use super::{
    book::EndpointRegistry,
    rate_limit::NextRequest,
    rate_share::{RateShare, burst, is_sharer},
};
use crate::{model::ServiceSpec, settings::ColdBounds};

/// Time over which the routers begin, one after the other, to send to an endpoint that has turned warm.
const RAMP: Duration = Duration::from_secs(1);

/// Time for which a router that has become the owner of a cold endpoint sends nothing there: what the
/// former owner sent counts for a second.
const TAKEOVER_DELAY: Duration = Duration::from_secs(1);

/// Cost of a cold endpoint, in milliseconds of delay: it is slow, and its rate is kept for requests that
/// have no room elsewhere.
pub(super) const COLD_COST_MS: f64 = 100.0;

/// What the endpoints of a service take while they are cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// Time from the start of an endpoint until it is warm.
    pub time: Duration,
    /// Requests per second that its owner sends.
    pub per_s: f64,
}

impl ColdLimit {
    /// Returns the limit for a service; `None` if its endpoints need no warming up. Within the bounds two
    /// routers that both believe that they own an endpoint, and send as much as they may, do not exceed
    /// what it survives in a second.
    pub fn new(spec: &ServiceSpec, bounds: ColdBounds) -> Option<ColdLimit> {
        let cold = spec.cold_start.filter(|it| it.per_s > 0.0 && !it.time.is_zero())?;
        let half = (cold.per_s * bounds.overage + bounds.allowance) / 2.0;
        let with_burst = burst(cold.per_s) + cold.per_s;
        let per_s =
            if with_burst <= half { cold.per_s } else { (half - 1.0).min(half / 1.25).max(0.0) };
        Some(ColdLimit { time: cold.time, per_s: per_s.min(cold.per_s) })
    }
}

/// Warmth of an endpoint, and this router's right to send to it while it is cold.
#[derive(Debug, Clone, Copy)]
pub(super) struct Warmth {
    /// When the endpoint is warm.
    warm_at: Timestamp,
    /// Time after which this router takes it for warm.
    ramp: Duration,
    /// Since when this router has been its owner; `None` if it is not.
    owned_since: Option<Timestamp>,
    /// What this router may send.
    share: RateShare,
}

impl Warmth {
    /// Creates the state of a warm endpoint.
    pub(super) fn new() -> Warmth {
        Warmth {
            warm_at: Timestamp::ZERO,
            ramp: RAMP,
            owned_since: None,
            share: RateShare::new(Timestamp::ZERO),
        }
    }

    /// Records that the endpoint is warm after this time.
    pub(super) fn set_remaining(&mut self, remaining: Duration, now: Timestamp) {
        if !remaining.is_zero() || self.warm_at > now {
            self.warm_at = now + remaining;
        }
    }

    /// Returns when this router may send the next request; `None` if it takes the endpoint for warm.
    pub(super) fn next_request(&self, now: Timestamp) -> Option<NextRequest> {
        let warm_at = self.open_at().filter(|at| now < *at)?;
        let Some(since) = self.owned_since else { return Some(NextRequest::At(warm_at)) };
        let from = (since + TAKEOVER_DELAY).max(now);
        let at = self.share.wait(from).map_or(warm_at, |it| (from + it).min(warm_at));
        Some(if at <= now { NextRequest::Now } else { NextRequest::At(at) })
    }

    /// Returns when this router takes the endpoint for warm; `None` if it was never cold.
    fn open_at(&self) -> Option<Timestamp> {
        (self.warm_at > Timestamp::ZERO).then(|| self.warm_at + self.ramp)
    }

    fn is_cold(&self, now: Timestamp) -> bool {
        self.open_at().is_some_and(|at| now < at)
    }

    fn set_owned(&mut self, since: Option<Timestamp>, per_s: f64, now: Timestamp) {
        if since.is_none() || self.owned_since.is_none() {
            self.owned_since = since;
        }
        let per_s = if self.owned_since.is_some() { per_s } else { 0.0 };
        self.share.set(per_s, now);
    }
}

impl EndpointRegistry {
    /// Replaces the limits of the services whose endpoints need warming up.
    pub fn set_cold_limits(&mut self, limits: HashMap<Arc<str>, ColdLimit>) {
        self.cold_limits = limits;
    }

    /// Recomputes which cold endpoints this router owns. `routers` are all that own cold endpoints and
    /// are alive; the list is empty if this router knows of none.
    pub fn update_cold_owners(&mut self, own: &str, routers: &[Arc<str>], now: Timestamp) {
        if self.cold_limits.is_empty() {
            return;
        }
        let mut sorted = routers.to_vec();
        sorted.sort_unstable();
        if sorted != self.cold_owners {
            self.cold_owners = sorted;
            self.cold_owners_changed_at = now;
        }
        let changed_at = self.cold_owners_changed_at;
        for (id, endpoint) in &mut self.endpoints {
            let Some(limit) = self.cold_limits.get(&endpoint.entry.service) else { continue };
            let warmth = &mut endpoint.warmth;
            if !warmth.is_cold(now) {
                warmth.owned_since = None;
                continue;
            }
            let is_owner = is_sharer(id, 1, own, routers);
            warmth.set_owned(is_owner.then_some(changed_at), limit.per_s, now);
            warmth.ramp = ramp_of(id, own);
        }
    }

    /// Returns the number of cold endpoints, and the rate in requests per second that this router may
    /// send to those that it owns.
    pub fn cold_counts(&self, now: Timestamp) -> (usize, f64) {
        let cold = self.endpoints.values().filter_map(|it| {
            let limit = self.cold_limits.get(&it.entry.service)?;
            let is_owned = it.warmth.owned_since.is_some();
            it.warmth.is_cold(now).then_some(if is_owned { limit.per_s } else { 0.0 })
        });
        cold.fold((0, 0.0), |(count, rate), per_s| (count + 1, rate + per_s))
    }

    /// Records that the process of an endpoint ended: the next one starts cold, and its entry may come
    /// later than its first answer.
    pub(super) fn record_cold_end(&mut self, id: &str, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && let Some(limit) = self.cold_limits.get(&endpoint.entry.service)
        {
            endpoint.warmth.set_remaining(limit.time, now);
        }
    }

    /// Records what an entry says about the warmth of its endpoint. `is_new` is set if the process is
    /// new to this router.
    pub(super) fn record_warmth(&mut self, id: &str, is_new: bool, now: Timestamp) {
        let has_traffic = self.has_list;
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let limit = self.cold_limits.get(&endpoint.entry.service);
        let remaining = match (endpoint.entry.cold_remaining, limit) {
            (Some(remaining), _) => remaining,
            (None, Some(limit)) if is_new && has_traffic => limit.time,
            (None, _) => return,
        };
        // The entry of a process that ended says nothing about the next one.
        if endpoint.ended == 0 || !remaining.is_zero() {
            endpoint.warmth.set_remaining(remaining, now);
        }
    }

    /// Counts a request that is sent to an endpoint while it is cold.
    pub(super) fn record_cold_request(&mut self, id: &str, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id)
            && self.cold_limits.contains_key(&endpoint.entry.service)
            && endpoint.warmth.is_cold(now)
        {
            endpoint.warmth.share.take(now);
            metrics::counter!(telemetry::COLD_REQUESTS_TOTAL).increment(1);
        }
    }
}

/// Returns the time after which a router takes an endpoint that has turned warm for warm. The routers'
/// times are spread evenly over [`RAMP`].
fn ramp_of(endpoint: &str, router: &str) -> Duration {
    let drawn = stable_hash(&[b"ramp", endpoint.as_bytes(), router.as_bytes()]) % 1_000;
    RAMP.mul_f64(drawn as f64 / 1_000.0)
}
