//! A simulated fleet in front of endpoints that fall over if they have to refuse too much.

use std::{collections::BTreeMap, time::Duration};

use rand::Rng as _;
use relay::{
    endpoints::{BrittleStatement, Choice, RateStatement, Statements},
    model::EndpointEntry,
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

use crate::{
    endpoint::{Arrival, SimEndpoint},
    event::{Event, Request},
    owners::UNANSWERED_PAUSE,
    router::SimRouter,
    setup::{Counts, Setup},
    statuses::MESSAGE_INTERVAL,
};

/// Step in which requests arrive.
const STEP: Duration = Duration::from_millis(1);

/// Bounds of the time that a message takes, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 200..2_500;

/// Time from the start of a router until it accepts callers.
const START_TIME: Duration = Duration::from_millis(50);

/// Attempts at endpoints that a request may make.
const ATTEMPTS_MAX: u32 = 4;

pub(crate) struct Fleet {
    pub(crate) now: Timestamp,
    pub(crate) rng: Rng,
    pub(crate) setup: Setup,
    pub(crate) routers: Vec<SimRouter>,
    pub(crate) endpoints: Vec<SimEndpoint>,
    pub(crate) counts: Counts,
    pub(crate) requests: Vec<Request>,
    events: BTreeMap<(Timestamp, u64), Event>,
    events_added: u64,
    /// Requests that are to arrive, and a fraction of one.
    arrivals_due: f64,
}

impl Fleet {
    pub(crate) fn new(seed: u64, setup: Setup) -> Fleet {
        let now = Timestamp::ZERO;
        let mut fleet = Fleet {
            now,
            rng: seeded_rng(seed),
            setup,
            routers: Vec::new(),
            endpoints: (0..setup.endpoints)
                .map(|it| SimEndpoint::new(it, setup.capacity))
                .collect(),
            counts: Counts::default(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            events_added: 0,
            arrivals_due: 0.0,
        };
        for router in 0..setup.routers {
            fleet.routers.push(SimRouter::new(router, now));
            fleet.introduce(router);
            let offset = fleet.rng.random_range(0..300);
            fleet
                .add_event(Duration::from_millis(offset), Event::Round { router, started_at: now });
        }
        fleet
    }

    pub(crate) fn add_event(&mut self, delay: Duration, event: Event) {
        self.events_added += 1;
        self.events.insert((self.now + delay, self.events_added), event);
    }

    /// Adds an event at the other end of a network path.
    pub(crate) fn send(&mut self, event: Event) {
        let latency = Duration::from_micros(self.rng.random_range(LATENCY_US));
        self.add_event(latency, event);
    }

    /// Makes a router and all others know each other, as the rows in the store do, and the router
    /// know the endpoints.
    fn introduce(&mut self, router: usize) {
        let now = self.now;
        let own = self.routers[router].member();
        for other in 0..self.routers.len() {
            if other != router && self.routers[other].is_running {
                let member = self.routers[other].member();
                self.routers[other].roster.add_listed(own.clone(), now);
                self.routers[router].roster.add_listed(member, now);
            }
        }
        let entries: Vec<EndpointEntry> = self.endpoints.iter().map(SimEndpoint::entry).collect();
        self.routers[router].registry.record_store_contact(true, now);
        self.routers[router].registry.apply_list(entries, now);
    }

    pub(crate) fn stop(&mut self, router: usize) {
        self.routers[router].is_running = false;
        // The endpoints drop the requests of a router whose connections end.
        for request in 0..self.requests.len() {
            if self.requests[request].router == router {
                self.requests[request].is_over = true;
            }
        }
    }

    pub(crate) fn start(&mut self, router: usize) {
        let part = self.routers[router].part;
        self.routers[router] = SimRouter::new(router, self.now);
        self.routers[router].part = part;
        self.introduce(router);
        self.add_event(Duration::ZERO, Event::Round { router, started_at: self.now });
    }

    /// Runs for `time` with requests arriving at this share of the endpoints' capacity; returns
    /// what happened in it.
    pub(crate) fn run(&mut self, load: f64, time: Duration) -> Counts {
        let before = self.counts;
        let until = self.now + time;
        let per_step = self.setup.capacity_per_s() * load * STEP.as_secs_f64();
        while self.now < until {
            let end = self.now + STEP;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= end
            {
                let ((at, _), event) = entry.remove_entry();
                self.now = self.now.max(at);
                self.handle(event);
            }
            self.now = end;
            // Bursts of random size, as callers are independent.
            self.arrivals_due += per_step * self.rng.random_range(0.0..2.0);
            while self.arrivals_due >= 1.0 {
                self.arrivals_due -= 1.0;
                self.receive_request();
            }
        }
        Counts {
            sent: self.counts.sent - before.sent,
            served: self.counts.served - before.served,
            failed: self.counts.failed - before.failed,
            refusals: self.counts.refusals - before.refusals,
            falls: self.counts.falls - before.falls,
        }
    }

    fn receive_request(&mut self) {
        let router = self.rng.random_range(0..self.routers.len());
        let it = &self.routers[router];
        let is_starting = it.started_at > Timestamp::ZERO && self.now < it.started_at + START_TIME;
        if !it.is_running || is_starting {
            return;
        }
        self.counts.sent += 1;
        self.requests.push(Request {
            router,
            router_started_at: self.routers[router].started_at,
            wait_until: self.now + self.setup.wait,
            attempts: 0,
            is_over: false,
            placement: None,
            admission: None,
            is_asking: false,
            sent_at: self.now,
        });
        self.place(self.requests.len() - 1);
    }

    pub(crate) fn is_lost(&self, request: usize) -> bool {
        let it = &self.requests[request];
        let router = &self.routers[it.router];
        it.is_over || !router.is_running || router.started_at != it.router_started_at
    }

    pub(crate) fn place(&mut self, request: usize) {
        if self.is_lost(request) || self.requests[request].placement.is_some() {
            return;
        }
        let (router, now) = (self.requests[request].router, self.now);
        let wait_until = self.requests[request].wait_until;
        let next_at = match self.routers[router].place(now, &mut self.rng) {
            Choice::Placed(placement) => {
                let (endpoint, is_brittle) = (placement.endpoint.clone(), placement.is_brittle);
                self.requests[request].placement = Some(placement);
                if is_brittle {
                    self.ask(request, &endpoint);
                } else {
                    self.dispatch(request);
                }
                return;
            }
            Choice::Limited(limited) => limited.next_at.filter(|it| *it <= wait_until),
            Choice::Full => Some(wait_until),
            Choice::NoEndpoint
            | Choice::Emptied
            | Choice::Unreached
            | Choice::NoVersion
            | Choice::Unnamed => None,
        };
        match next_at.filter(|_| now < wait_until) {
            Some(at) => {
                self.routers[router].waiting.push_back(request);
                self.add_event(at.since(now), Event::Place(request));
            }
            None => self.give_up(request),
        }
    }

    pub(crate) fn give_up(&mut self, request: usize) {
        self.requests[request].is_over = true;
        self.counts.failed += 1;
    }

    pub(crate) fn dispatch(&mut self, request: usize) {
        self.requests[request].sent_at = self.now;
        self.requests[request].attempts += 1;
        self.send(Event::Arrive(request));
    }

    fn answer(&mut self, request: usize, arrival: Arrival) {
        if self.is_lost(request) {
            return;
        }
        let Some(placement) = self.requests[request].placement.take() else { return };
        let (from, now) = (self.requests[request].router, self.now);
        let endpoint = placement.endpoint.clone();
        let registry = &mut self.routers[from].registry;
        registry.remove_request_load(&endpoint, placement.load);
        let is_refused = arrival == Arrival::Refused;
        if matches!(arrival, Arrival::Accepted | Arrival::Refused) {
            let brittleness = match self.setup.refusals_max {
                Some(refusals_max) if self.setup.is_stated => {
                    BrittleStatement::Brittle(refusals_max)
                }
                _ => BrittleStatement::NotBrittle,
            };
            let statements = Statements {
                rate: RateStatement::Unlimited,
                is_leaving: false,
                pause: None,
                brittleness,
                has_malformed: false,
            };
            let sent_at = self.requests[request].sent_at;
            registry.record_statements(&endpoint, &statements, sent_at, now);
        }
        if arrival != Arrival::Accepted {
            registry.record_unreachable(&endpoint, now);
        }
        let mut is_closed = false;
        if is_refused && registry.is_brittle(&endpoint, now) {
            is_closed = registry.record_brittle_refusal(&endpoint, now);
        }
        if let Some((number, owner)) = self.requests[request].admission.take() {
            let end = Event::End { from, owner, endpoint, number, is_refused };
            if owner == from { self.handle(end) } else { self.send(end) }
        }
        if is_closed {
            self.send_status(from);
        }
        let may_repeat = matches!(arrival, Arrival::Refused | Arrival::Unreachable);
        if arrival == Arrival::Accepted {
            self.counts.served += 1;
            self.requests[request].is_over = true;
        } else if may_repeat && self.requests[request].attempts < ATTEMPTS_MAX {
            self.requests[request].wait_until = now + self.setup.wait;
            self.place(request);
        } else {
            self.give_up(request);
        }
        self.wake_one(from);
    }

    fn wake_one(&mut self, router: usize) {
        if let Some(request) = self.routers[router].waiting.pop_front() {
            self.place(request);
        }
    }

    pub(crate) fn handle(&mut self, event: Event) {
        match event {
            Event::Place(request) => self.place(request),
            Event::Ask { request, number, owner } => {
                let from = self.requests[request].router;
                let is_open = self.requests[request].admission == Some((number, owner));
                if is_open && self.can_reach(from, owner) {
                    let admission = self.admit(request, number, owner);
                    self.send(Event::Reply { request, number, owner, admission });
                }
            }
            Event::Reply { request, number, owner, admission } => {
                if self.can_reach(owner, self.requests[request].router) {
                    self.handle_reply(request, number, owner, admission);
                }
            }
            Event::Unanswered { request, number } => {
                let it = &self.requests[request];
                let is_open = it.admission.is_some_and(|(open, _)| open == number);
                if is_open && it.is_asking && !self.is_lost(request) {
                    self.deny(request, UNANSWERED_PAUSE);
                }
            }
            Event::End { from, owner, endpoint, number, is_refused } => {
                if !self.can_reach(from, owner) {
                    return;
                }
                let (book, now) = (&mut self.routers[owner].book, self.now);
                if is_refused {
                    book.record_refusal(&endpoint, number, now);
                } else {
                    book.end(&endpoint, number);
                }
                self.wake_one(owner);
            }
            Event::Arrive(request) => self.arrive(request),
            Event::Done { request, endpoint, restarts } => {
                if self.endpoints[endpoint].restarts == restarts && self.endpoints[endpoint].is_up {
                    self.endpoints[endpoint].finish();
                    self.begin_next(endpoint);
                    self.send(Event::Answer { request, arrival: Arrival::Accepted });
                }
            }
            Event::Answer { request, arrival } => self.answer(request, arrival),
            Event::Status { from, to, status } => self.receive_status(from, to, &status),
            Event::Restart(endpoint) => self.restart(endpoint),
            Event::List { router, change } => {
                if self.routers[router].is_running {
                    self.routers[router].registry.record_store_contact(true, self.now);
                    self.routers[router].registry.apply_change(change, self.now);
                }
            }
            Event::Round { router, started_at } => {
                let it = &self.routers[router];
                if it.is_running && it.started_at == started_at {
                    self.send_status(router);
                    self.routers[router].update(self.now);
                    self.add_event(MESSAGE_INTERVAL, Event::Round { router, started_at });
                }
            }
        }
    }
}
