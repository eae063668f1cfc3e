//! Endpoints that nobody could connect to: requests that only they can run are refused at once.

use std::time::Duration;

use types::Timestamp;

use super::{book::EndpointRegistry, endpoint::Endpoint};

/// Time after a failed attempt to connect in which others would fail as well, and between two
/// attempts while no endpoint of a service can be reached.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time after which a failed attempt says nothing any more.
const FAILURE_MAX_AGE: Duration = Duration::from_secs(3);

/// A failed attempt to connect to an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Unreached {
    /// When it failed.
    failed_at: Timestamp,
    /// When a request last began to try again.
    tried_at: Timestamp,
}

impl Unreached {
    fn is_recent(self, now: Timestamp) -> bool {
        now.since(self.failed_at) < FAILURE_MAX_AGE
    }

    fn is_retry_due(self, now: Timestamp) -> bool {
        now.since(self.tried_at.max(self.failed_at)) >= RETRY_INTERVAL
    }
}

impl EndpointRegistry {
    /// Records that neither this router nor another one could connect to an endpoint.
    pub fn record_unreached(&mut self, id: &str, now: Timestamp) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.health.record_unreachable(now);
            endpoint.unreached = Some(Unreached { failed_at: now, tried_at: now });
        }
    }

    /// Records that a connection to an endpoint was opened.
    pub fn record_reached(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.unreached = None;
        }
    }

    /// Reports whether a connection to an endpoint failed so recently that another would fail, too.
    pub fn is_unreached(&self, id: &str, now: Timestamp) -> bool {
        let unreached = self.endpoints.get(id).and_then(|it| it.unreached);
        unreached.is_some_and(|it| !it.is_retry_due(now))
    }

    /// Records that a request tries to reach an endpoint again. Until the result is known, others do not
    /// try to reach the endpoints of the service.
    pub(super) fn record_retry(&mut self, id: &str, now: Timestamp) {
        let Some(endpoint) = self.endpoints.get(id).filter(|it| it.unreached.is_some()) else {
            return;
        };
        let service = endpoint.entry.service.clone();
        for endpoint in self.endpoints.values_mut().filter(|it| it.entry.service == service) {
            if let Some(unreached) = &mut endpoint.unreached {
                unreached.tried_at = now;
            }
        }
    }
}

/// Reports whether a request can reach none of the endpoints, and another one tries at the moment or
/// has tried recently.
pub(super) fn are_unreached(serving: &[&Endpoint], now: Timestamp) -> bool {
    let mut failures = serving.iter().map(|it| it.unreached.filter(|it| it.is_recent(now)));
    let is_retry_due = |it: &&Endpoint| it.unreached.is_some_and(|it| it.is_retry_due(now));
    failures.all(|it| it.is_some()) && !serving.iter().all(is_retry_due)
}
