//! What was disturbed when, which the checks have to take into account.

use std::net::SocketAddr;

use tokio::time::Instant;

use crate::{
    engines::DOWN_TIME,
    outcome::RequestOutcome,
    world::{CONTACT_TIME, SoakFleet},
};

impl SoakFleet {
    /// Returns whether a router's process was stopped or suspended in a period.
    pub(crate) fn was_disturbed(&self, router: SocketAddr, from: Instant, until: Instant) -> bool {
        self.disturbances.iter().any(|it| it.0 == router && it.1 >= from && it.1 <= until)
    }

    /// Returns whether the router of a request was in touch with callers, store and other routers
    /// from [`CONTACT_TIME`] before the request to its end.
    pub(crate) fn is_in_touch(&self, outcome: &RequestOutcome) -> bool {
        let (from, until) = (outcome.sent_at - CONTACT_TIME, outcome.ended_at);
        !self.stopped.overlap(&outcome.router, from, until)
            && !self.store_faults.overlap(&outcome.router, from, until)
    }

    /// Returns whether the router of a request was cut off from all endpoints between
    /// [`CONTACT_TIME`] before the request and its end.
    pub(crate) fn was_cut_off(&self, outcome: &RequestOutcome) -> bool {
        self.was_cut(outcome.router, outcome.sent_at - CONTACT_TIME, outcome.ended_at)
    }

    /// Returns whether a router was cut off from all endpoints in a period.
    pub(crate) fn was_cut(&self, router: SocketAddr, from: Instant, until: Instant) -> bool {
        let mut cuts = self.cuts.iter().filter(|it| it.from <= until && it.until >= from);
        cuts.any(|it| it.routers.iter().any(|it| self.routers[*it].caller_address == router))
    }

    /// Returns whether an endpoint was down in a period, or its link did more than fall silent.
    pub(crate) fn was_unsound(&self, id: &String, from: Instant, until: Instant) -> bool {
        let engine = id.strip_prefix("m-").and_then(|it| it.parse::<usize>().ok());
        let crashes = engine.map(|it| self.engines.endpoints[it].part_crashes());
        self.endpoint_faults.overlap(id, from, until)
            || crashes
                .into_iter()
                .flatten()
                .map(Instant::from)
                .any(|it| it <= until && it + DOWN_TIME >= from)
    }
}
