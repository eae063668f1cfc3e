//! The exchange with the owners of brittle endpoints.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use relay::endpoints::{Admission, AdmissionRequest};

use crate::{event::Event, fleet::Fleet};

/// Time after which a router gives up asking the owner of an endpoint, and does not ask it again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
pub(crate) const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);

/// Bounds of the time after which a router asks again for an endpoint without room.
const FULL_PAUSE_MS: std::ops::Range<u64> = 6..14;

impl Fleet {
    pub(crate) fn ask(&mut self, request: usize, endpoint: &Arc<str>) {
        let from = self.requests[request].router;
        let owner = self.routers[from].registry.owner_of(endpoint);
        let owner = owner.map_or(from, |it| it.strip_prefix("router-").unwrap().parse().unwrap());
        let number = self.rng.random();
        self.requests[request].admission = Some((number, owner));
        self.requests[request].is_asking = true;
        if owner == from {
            let admission = self.admit(request, number, owner);
            self.handle_reply(request, number, owner, admission);
        } else {
            self.send(Event::Ask { request, number, owner });
            self.add_event(ANSWER_TIMEOUT, Event::Unanswered { request, number });
        }
    }

    pub(crate) fn can_reach(&self, from: usize, to: usize) -> bool {
        self.routers[to].is_running && self.routers[from].part == self.routers[to].part
    }

    pub(crate) fn admit(&mut self, request: usize, number: u64, owner: usize) -> Admission {
        let now = self.now;
        let placement = self.requests[request].placement.as_ref().unwrap();
        let (endpoint, started_at_ms) =
            (placement.endpoint.clone(), placement.process.started_at_ms);
        let router = self.routers[self.requests[request].router].name();
        let owner = &mut self.routers[owner];
        let own = owner.name();
        let Some(view) = owner.registry.owner_view(&endpoint) else {
            return Admission::Full;
        };
        if view.started_at_ms != started_at_ms
            || owner.registry.owner_of(&endpoint).as_ref() != Some(&own)
        {
            return Admission::Full;
        }
        let loads = || owner.registry.reported_requests(&endpoint, &own, now);
        let asked =
            AdmissionRequest { number, endpoint: endpoint.clone(), router, fill_share: 1.0 };
        owner.book.admit(&asked, &view, loads, now)
    }

    pub(crate) fn handle_reply(
        &mut self,
        request: usize,
        number: u64,
        owner: usize,
        admission: Admission,
    ) {
        let from = self.requests[request].router;
        let it = &self.requests[request];
        let is_open = it.is_asking && it.admission == Some((number, owner));
        if !is_open || self.is_lost(request) {
            if admission == Admission::Admitted {
                let endpoint = self.requests[request].placement.as_ref();
                if let Some(endpoint) = endpoint.map(|it| it.endpoint.clone()) {
                    let is_refused = false;
                    self.send(Event::End { from, owner, endpoint, number, is_refused });
                }
            }
            return;
        }
        self.requests[request].is_asking = false;
        let pause = match admission {
            Admission::Admitted => {
                self.dispatch(request);
                return;
            }
            Admission::Full => Duration::from_millis(self.rng.random_range(FULL_PAUSE_MS)),
            Admission::Closed(time) => time,
        };
        self.deny(request, pause);
    }

    pub(crate) fn deny(&mut self, request: usize, pause: Duration) {
        self.requests[request].admission = None;
        self.requests[request].is_asking = false;
        let placement = self.requests[request].placement.take().unwrap();
        let router = &mut self.routers[self.requests[request].router];
        router.registry.remove_request_load(&placement.endpoint, placement.load);
        router.registry.record_denial(&placement.endpoint, self.now + pause);
        if self.now >= self.requests[request].wait_until {
            self.give_up(request);
        } else {
            self.place(request);
        }
    }
}
