//! A simulated fleet in front of endpoints that fall over if they have to refuse too much.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::{Rng as _, seq::SliceRandom};
use relay::{
    endpoints::{
        Admission, AdmissionRequest, BrittleStatement, Choice, EndpointChange, LoadShare,
        Placement, RateStatement, Statements,
    },
    model::EndpointEntry,
    peers::{LivenessReport, Member, StatementMessage},
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

use crate::{
    endpoint::{Arrival, SimEndpoint},
    router::SimRouter,
};

/// Step in which requests arrive.
const STEP: Duration = Duration::from_millis(1);

/// Time between two rounds of status messages, and the number of routers that each round reaches.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(300);
const FAN_OUT: usize = 14;

/// Bounds of the time that a message takes, in microseconds.
const LATENCY_US: std::ops::Range<u64> = 200..2_500;

/// Maximum delay after which a router reads a change of the list of endpoints, in milliseconds.
const LIST_DELAY_MS: u64 = 500;

/// Time after which a router gives up asking the owner of an endpoint, and does not ask it again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(40);
const UNANSWERED_PAUSE: Duration = Duration::from_millis(200);

/// Bounds of the time after which a router asks again for an endpoint without room.
const FULL_PAUSE_MS: std::ops::Range<u64> = 6..14;

/// Time from the start of a router until it accepts callers.
const START_TIME: Duration = Duration::from_millis(50);

/// Time for which an endpoint is down after it fell over.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// Attempts at endpoints that a request may make.
const ATTEMPTS_MAX: u32 = 4;

/// What the simulated fleet consists of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Setup {
    pub(crate) routers: usize,
    pub(crate) endpoints: usize,
    /// Requests that an endpoint runs at a time, and how long each takes on average.
    pub(crate) capacity: u32,
    pub(crate) work: Duration,
    /// Time for which a request may wait for room in its router.
    pub(crate) wait: Duration,
    /// Number of refusals within a second that an endpoint survives; `None` if it survives all.
    pub(crate) refusals_max: Option<u32>,
    /// Whether the endpoints state it.
    pub(crate) is_stated: bool,
}

impl Setup {
    /// Returns the requests per second that all endpoints together can run.
    pub(crate) fn capacity_per_s(&self) -> f64 {
        self.endpoints as f64 * f64::from(self.capacity) / self.work.as_secs_f64()
    }
}

/// Outcomes of the requests.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) sent: usize,
    pub(crate) served: usize,
    /// Requests that were given up.
    pub(crate) failed: usize,
    pub(crate) refusals: usize,
    pub(crate) falls: usize,
}

struct Request {
    router: usize,
    router_started_at: Timestamp,
    wait_until: Timestamp,
    attempts: u32,
    is_over: bool,
    /// Where it is, or is about to be sent.
    placement: Option<Placement>,
    /// Number of its admission, and the router that admitted it.
    admission: Option<(u64, usize)>,
    /// Whether that router has not answered yet.
    is_asking: bool,
    sent_at: Timestamp,
}

enum Event {
    /// A router places a request.
    Place(usize),
    /// A router's admission request arrives at the owner.
    Ask { request: usize, number: u64, owner: usize },
    /// The owner's answer arrives.
    Reply { request: usize, number: u64, owner: usize, admission: Admission },
    /// The owner has not answered in time.
    Unanswered { request: usize, number: u64 },
    /// The end of an admitted request is reported.
    End { from: usize, owner: usize, endpoint: Arc<str>, number: u64, is_refused: bool },
    /// A request arrives at its endpoint.
    Arrive(usize),
    /// A request that an endpoint process runs is done.
    Done { request: usize, endpoint: usize, restarts: u64 },
    /// An answer arrives at the router.
    Answer { request: usize, arrival: Arrival },
    /// A status message arrives.
    Status { from: usize, to: usize, status: Arc<Status> },
    /// An endpoint is up again.
    Restart(usize),
    /// A router reads the change of an entry.
    List { router: usize, change: EndpointChange },
    /// Time for the round of status messages of a router that started at this time.
    Round(usize, Timestamp),
}

struct Status {
    member: Member,
    /// Whether the sender has just started and asks for the others' states.
    wants_answer: bool,
    part: u8,
    loads: Vec<LoadShare>,
    liveness: Vec<LivenessReport>,
    statements: Vec<StatementMessage>,
}

pub(crate) struct Fleet {
    pub(crate) now: Timestamp,
    pub(crate) rng: Rng,
    pub(crate) setup: Setup,
    pub(crate) routers: Vec<SimRouter>,
    pub(crate) endpoints: Vec<SimEndpoint>,
    pub(crate) counts: Counts,
    requests: Vec<Request>,
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
            fleet.add_event(Duration::from_millis(offset), Event::Round(router, now));
        }
        fleet
    }

    fn add_event(&mut self, delay: Duration, event: Event) {
        self.events_added += 1;
        self.events.insert((self.now + delay, self.events_added), event);
    }

    /// Adds an event at the other end of a network path.
    fn send(&mut self, event: Event) {
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
        self.add_event(Duration::ZERO, Event::Round(router, self.now));
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

    fn is_lost(&self, request: usize) -> bool {
        let it = &self.requests[request];
        let router = &self.routers[it.router];
        it.is_over || !router.is_running || router.started_at != it.router_started_at
    }

    fn place(&mut self, request: usize) {
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
            Choice::NoEndpoint | Choice::Unreached | Choice::NoVersion => None,
        };
        match next_at.filter(|_| now < wait_until) {
            Some(at) => {
                self.routers[router].waiting.push_back(request);
                self.add_event(at.since(now), Event::Place(request));
            }
            None => self.give_up(request),
        }
    }

    fn give_up(&mut self, request: usize) {
        self.requests[request].is_over = true;
        self.counts.failed += 1;
    }

    fn ask(&mut self, request: usize, endpoint: &Arc<str>) {
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

    fn can_reach(&self, from: usize, to: usize) -> bool {
        self.routers[to].is_running && self.routers[from].part == self.routers[to].part
    }

    fn admit(&mut self, request: usize, number: u64, owner: usize) -> Admission {
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

    fn handle_reply(&mut self, request: usize, number: u64, owner: usize, admission: Admission) {
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

    fn deny(&mut self, request: usize, pause: Duration) {
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

    fn dispatch(&mut self, request: usize) {
        self.requests[request].sent_at = self.now;
        self.requests[request].attempts += 1;
        self.send(Event::Arrive(request));
    }

    fn endpoint_of(&self, request: usize) -> Option<usize> {
        let id = &self.requests[request].placement.as_ref()?.endpoint;
        self.endpoints.iter().position(|it| it.id() == *id)
    }

    fn arrive(&mut self, request: usize) {
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

    fn begin_next(&mut self, endpoint: usize) {
        while let Some(request) = self.endpoints[endpoint].begin_next() {
            let spread = self.rng.random_range(0.5..1.5);
            let work = self.setup.work.mul_f64(spread);
            let restarts = self.endpoints[endpoint].restarts;
            self.add_event(work, Event::Done { request, endpoint, restarts });
        }
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
                _ => BrittleStatement::Sturdy,
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

    fn status_of(&self, router: usize) -> Arc<Status> {
        let (router, now) = (&self.routers[router], self.now);
        let reports = router.registry.reports(now);
        Arc::new(Status {
            member: router.member(),
            wants_answer: router.started_at > Timestamp::ZERO && router.started_at == now,
            part: router.part,
            loads: router.registry.own_loads(),
            liveness: router.roster.liveness_reports(now).collect(),
            statements: reports.iter().map(StatementMessage::from_report).collect(),
        })
    }

    fn send_status(&mut self, from: usize) {
        let mut targets: Vec<usize> = (0..self.routers.len()).filter(|it| *it != from).collect();
        targets.shuffle(&mut self.rng);
        let status = self.status_of(from);
        for to in targets.into_iter().take(FAN_OUT) {
            self.send(Event::Status { from, to, status: status.clone() });
        }
    }

    fn receive_status(&mut self, from: usize, to: usize, status: &Status) {
        if !self.can_reach(from, to) || self.routers[to].part != status.part {
            return;
        }
        let (router, now) = (&mut self.routers[to], self.now);
        let name = status.member.name.clone();
        router.registry.apply_peer_loads(&name, &status.loads, now);
        router.book.reconcile(&name, &status.loads, now);
        router.roster.record_status(status.member.clone(), now);
        let own_key = router.process_key;
        for report in status.liveness.iter().filter(|it| it.process_key != own_key) {
            router.roster.record_report(report, now);
        }
        for report in status.statements.iter().filter_map(StatementMessage::to_report) {
            router.registry.apply_report(&report, now);
        }
        if status.wants_answer {
            let status = self.status_of(to);
            self.send(Event::Status { from: to, to: from, status });
        }
    }

    fn restart(&mut self, endpoint: usize) {
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

    fn handle(&mut self, event: Event) {
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
            Event::Round(router, started_at) => {
                let it = &self.routers[router];
                if it.is_running && it.started_at == started_at {
                    self.send_status(router);
                    self.routers[router].update(self.now);
                    self.add_event(MESSAGE_INTERVAL, Event::Round(router, started_at));
                }
            }
        }
    }
}
