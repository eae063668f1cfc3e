//! Endpoints that state that they fall over if they have to refuse too many requests.

use std::{sync::Arc, time::Duration};

use types::Timestamp;
use utils::stable_hash;

use super::{
    admissions::OwnerView, book::EndpointRegistry, endpoint::Endpoint, statements::BrittleReport,
};
use crate::units::millis;

/// Time for which the end of a statement is reported to other routers.
const END_REPORT_TIME: Duration = Duration::from_secs(5);

/// Time for which a statement holds for the other endpoints of the service after the last endpoint
/// that made it is gone or has withdrawn it.
const SERVICE_STATEMENT_TIME: Duration = Duration::from_secs(10);

/// Time for which nothing is sent to a brittle endpoint after it refused a request.
pub(super) const CLOSED_TIME: Duration = Duration::from_secs(1);

/// What an answer says about whether the endpoint is brittle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrittleStatement {
    /// It does not say so.
    NotBrittle,
    /// The endpoint falls over if it has to refuse more than this number of requests in a second.
    Brittle(u32),
    /// The statement is malformed, or the answer lacks both a statement and a signature.
    Unknown,
}

/// An endpoint's latest statement about whether it is brittle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Brittleness {
    /// Number of refusals within a second that it survives; `None` if it is not brittle.
    refusals_max: Option<u32>,
    /// When the latest answer with this statement arrived at some router.
    stated_at: Timestamp,
    /// When it first stated that it is brittle, as far as known; without meaning if it is not.
    began_at: Timestamp,
    /// When it stopped being brittle; `None` if it is brittle or never was.
    ended_at: Option<Timestamp>,
}

impl Brittleness {
    /// Reports whether the endpoint states that it is brittle.
    pub(super) fn is_stated(&self) -> bool {
        self.refusals_max.is_some()
    }

    fn is_reported(&self, now: Timestamp) -> bool {
        self.is_stated() || self.ended_at.is_some_and(|it| now.since(it) <= END_REPORT_TIME)
    }
}

impl Endpoint {
    /// Reports whether its own latest statement is that it is brittle.
    pub(super) fn states_brittleness(&self) -> bool {
        self.brittleness.is_some_and(|it| it.is_stated())
    }

    /// Returns until when nothing is sent to it because it refused a request or because the router
    /// that admits requests to it had no room.
    pub(super) fn closed_until(&self) -> Timestamp {
        let refused = self.refused_at.map_or(Timestamp::ZERO, |it| it + CLOSED_TIME);
        refused.max(self.denied_until)
    }

    /// Returns what other routers are told about its brittleness and its refusals.
    pub(super) fn brittle_report(&self, now: Timestamp) -> Option<BrittleReport> {
        let it = self.brittleness.filter(|it| it.is_reported(now))?;
        let refusal = self.refused_at.map(|at| now.since(at));
        Some(BrittleReport {
            refusals_max: it.refusals_max,
            age: now.since(it.stated_at),
            begin_age: now.since(it.began_at),
            refusal_age: refusal.filter(|age| *age <= CLOSED_TIME),
        })
    }
}

impl EndpointRegistry {
    /// Reports whether the endpoints of a service are treated as brittle unless they have stated
    /// otherwise since: one of them states it, or did so recently.
    pub fn is_service_brittle(&self, service: &str, now: Timestamp) -> bool {
        self.service_stated_at(service, now).is_some()
    }

    /// Reports whether an endpoint is treated as brittle. `false` if it is unknown.
    pub fn is_brittle(&self, id: &str, now: Timestamp) -> bool {
        let Some(endpoint) = self.endpoints.get(id) else { return false };
        is_brittle(endpoint, self.service_stated_at(&endpoint.entry.service, now))
    }

    /// Returns the number of endpoints that state that they are brittle.
    pub fn brittle_count(&self) -> usize {
        self.endpoints.values().filter(|it| it.states_brittleness()).count()
    }

    /// Returns when an endpoint of the service last stated that it is brittle, as far as this
    /// concerns the others.
    pub(super) fn service_stated_at(&self, service: &str, now: Timestamp) -> Option<Timestamp> {
        let stated_at = *self.brittle_services.get(service)?;
        let is_stated = |it: &Endpoint| *it.entry.service == *service && it.states_brittleness();
        let holds = now.since(stated_at) <= SERVICE_STATEMENT_TIME
            || self.endpoints.values().any(is_stated);
        holds.then_some(stated_at)
    }

    /// Records what an answer says about whether the endpoint is brittle.
    pub(super) fn record_brittleness(
        &mut self,
        id: &str,
        statement: BrittleStatement,
        sent_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        match statement {
            BrittleStatement::Brittle(refusals_max) => {
                self.restate_brittleness(id, Some(refusals_max), now, now, now);
            }
            BrittleStatement::NotBrittle => {
                if endpoint.brittleness.is_none_or(|it| it.stated_at < sent_at) {
                    self.restate_brittleness(id, None, now, now, now);
                }
            }
            BrittleStatement::Unknown => {}
        }
    }

    /// Applies what another router reports about the current process of an endpoint.
    pub(super) fn apply_brittle_report(
        &mut self,
        id: &Arc<str>,
        report: BrittleReport,
        now: Timestamp,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if let Some(age) = report.refusal_age {
            let at = now - age;
            endpoint.refused_at = endpoint.refused_at.max(Some(at));
        }
        let stated_at = now - report.age;
        if endpoint.brittleness.is_none_or(|it| it.stated_at < stated_at) {
            let began_at = now - report.begin_age.max(report.age);
            self.restate_brittleness(id, report.refusals_max, began_at, stated_at, now);
        }
    }

    fn restate_brittleness(
        &mut self,
        id: &str,
        refusals_max: Option<u32>,
        began_at: Timestamp,
        stated_at: Timestamp,
        now: Timestamp,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        let before = endpoint.brittleness;
        let was_stated = endpoint.states_brittleness();
        let ended_at = match refusals_max {
            Some(_) => None,
            None if was_stated => Some(now),
            None => before.and_then(|it| it.ended_at),
        };
        let began_at = match before {
            Some(it) if was_stated => it.began_at.min(began_at),
            _ => began_at,
        };
        endpoint.brittleness = Some(Brittleness { refusals_max, stated_at, began_at, ended_at });
        match refusals_max {
            Some(refusals_max) if !was_stated => {
                log::info!(endpoint = id, refusals_max; "endpoint states that it is brittle");
            }
            None if was_stated => {
                log::info!(endpoint = id; "endpoint no longer states that it is brittle");
            }
            _ => {}
        }
        if refusals_max.is_some() {
            let service = endpoint.entry.service.clone();
            let known = self.brittle_services.entry(service).or_insert(stated_at);
            *known = (*known).max(stated_at);
        }
    }

    /// Records that a brittle endpoint refused a request. Returns whether it was open to requests
    /// before.
    pub fn record_brittle_refusal(&mut self, id: &str, now: Timestamp) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else { return false };
        let was_closed = endpoint.refused_at.is_some_and(|it| now.since(it) < CLOSED_TIME);
        endpoint.refused_at = Some(now);
        if !was_closed {
            log::warn!(endpoint = id, closed_ms = millis(CLOSED_TIME); "brittle endpoint refused a request; nothing is sent to it for now");
        }
        !was_closed
    }

    /// Sets the routers among which brittle endpoints have their owners.
    pub(super) fn set_sharers(&mut self, routers: &[Arc<str>], now: Timestamp) {
        let mut routers = routers.to_vec();
        routers.sort_unstable();
        if routers != self.sharers {
            self.sharers = routers;
            self.sharers_changed_at = now;
            self.endpoints.values_mut().for_each(|it| it.owner = None);
        }
    }

    /// Returns the router that admits requests to an endpoint while it is brittle: the one that
    /// ranks highest by rendezvous hashing, so that all routers that know the same ones agree without
    /// messages. `None` if the endpoint is unknown or no router shares limits.
    pub fn owner_of(&mut self, id: &str) -> Option<Arc<str>> {
        let endpoint = self.endpoints.get_mut(id)?;
        if endpoint.owner.is_none() {
            let rank = |it: &&Arc<str>| stable_hash(&[id.as_bytes(), it.as_bytes()]);
            endpoint.owner = self.sharers.iter().max_by_key(rank).cloned();
        }
        endpoint.owner.clone()
    }

    /// Returns what an owner needs to know of an endpoint; `None` if the endpoint is unknown.
    pub fn owner_view(&self, id: &str) -> Option<OwnerView> {
        let endpoint = self.endpoints.get(id)?;
        Some(OwnerView {
            started_at_ms: endpoint.entry.started_at_ms,
            service: endpoint.entry.service.clone(),
            capacity: endpoint.entry.capacity,
            refused_at: endpoint.refused_at,
            owners_changed_at: self.sharers_changed_at,
            brittle_since: self.brittle_since(&endpoint.entry.service),
        })
    }

    /// Returns since when an endpoint of the service has stated that it is brittle.
    fn brittle_since(&self, service: &str) -> Option<Timestamp> {
        let of_service = self.endpoints.values().filter(|it| *it.entry.service == *service);
        let stated = of_service.filter_map(|it| it.brittleness).filter(Brittleness::is_stated);
        stated.map(|it| it.began_at).min()
    }

    /// Returns the number of requests that each router has reported at an endpoint; `own` is the
    /// name of this one.
    pub fn reported_requests(
        &self,
        id: &str,
        own: &Arc<str>,
        now: Timestamp,
    ) -> Vec<(Arc<str>, u32)> {
        let Some(endpoint) = self.endpoints.get(id) else { return Vec::new() };
        let peers =
            endpoint.fresh_peer_loads(now).map(|(router, it)| (router.clone(), it.requests));
        peers.chain([(own.clone(), endpoint.own_load.requests)]).collect()
    }

    /// Records that the router that admits requests to an endpoint admits none before `until`.
    pub fn record_denial(&mut self, id: &str, until: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.denied_until = endpoint.denied_until.max(until);
        }
    }

    /// Forgets statements about services that no longer concern any endpoint.
    pub(super) fn forget_brittle_services(&mut self, now: Timestamp) {
        let mut services = std::mem::take(&mut self.brittle_services);
        services.retain(|service, stated_at| {
            let is_stated = |it: &Endpoint| it.entry.service == *service && it.states_brittleness();
            now.since(*stated_at) <= SERVICE_STATEMENT_TIME
                || self.endpoints.values().any(is_stated)
        });
        self.brittle_services = services;
    }
}

/// Reports whether an endpoint is treated as brittle. `service_stated_at` is when an endpoint of its
/// service last stated that it is.
pub(super) fn is_brittle(endpoint: &Endpoint, service_stated_at: Option<Timestamp>) -> bool {
    match endpoint.brittleness {
        Some(it) if it.is_stated() => true,
        Some(it) => service_stated_at.is_some_and(|at| at > it.stated_at),
        None => service_stated_at.is_some(),
    }
}
