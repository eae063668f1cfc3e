//! Requests at the simulated endpoints.

use std::time::Duration;

use rand::Rng as _;
use relay::endpoints::EndpointChange;

use crate::{endpoint::Arrival, event::Event, fleet::Fleet};

/// Maximum delay after which a router reads a change of the list of endpoints, in milliseconds.
const LIST_DELAY_MS: u64 = 500;

/// Time for which an endpoint is down after it fell over.
const DOWN_TIME: Duration = Duration::from_secs(2);

impl Fleet {
    fn endpoint_of(&self, request: usize) -> Option<usize> {
        let id = &self.requests[request].placement.as_ref()?.endpoint;
        self.endpoints.iter().position(|it| it.id() == *id)
    }

    pub(crate) fn arrive(&mut self, request: usize) {
        if self.is_lost(request) {
            return;
        }
        let Some(endpoint) = self.endpoint_of(request) else {
            self.send(Event::Answer { request, arrival: Arrival::Unreachable });
            return;
        };
        let refusals_max = self.setup.refusals_max;
        let arrival = self.endpoints[endpoint].arrive(request, refusals_max, self.now);
        match arrival {
            Arrival::Accepted => self.begin_next(endpoint),
            Arrival::Refused | Arrival::Unreachable => {
                self.counts.refusals += usize::from(arrival == Arrival::Refused);
                self.send(Event::Answer { request, arrival });
            }
            Arrival::Fell => {
                self.counts.refusals += 1;
                self.counts.falls += 1;
                self.add_event(DOWN_TIME, Event::Restart(endpoint));
                let id = self.endpoints[endpoint].id();
                for it in 0..self.requests.len() {
                    let placement = self.requests[it].placement.as_ref();
                    if !self.is_lost(it) && placement.is_some_and(|at| at.endpoint == id) {
                        self.send(Event::Answer { request: it, arrival: Arrival::Fell });
                    }
                }
            }
        }
    }

    pub(crate) fn begin_next(&mut self, endpoint: usize) {
        while let Some(request) = self.endpoints[endpoint].begin_next() {
            let spread = self.rng.random_range(0.5..1.5);
            let work = self.setup.work.mul_f64(spread);
            let restarts = self.endpoints[endpoint].restarts;
            self.add_event(work, Event::Done { request, endpoint, restarts });
        }
    }

    pub(crate) fn restart(&mut self, endpoint: usize) {
        let former = self.endpoints[endpoint].id();
        self.endpoints[endpoint].restart();
        let entry = self.endpoints[endpoint].entry();
        for router in 0..self.routers.len() {
            let delay = Duration::from_millis(self.rng.random_range(0..LIST_DELAY_MS));
            let removed = EndpointChange::Removed(former.clone());
            self.add_event(delay, Event::List { router, change: removed });
            let written = EndpointChange::Written(entry.clone());
            self.add_event(delay, Event::List { router, change: written });
        }
    }
}
