//! Discrete events: callers, routers and engines on simulated time.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use errors::{Error, ErrorKind};
use rand::Rng as _;
use routing::{AttemptOutcome, CrashRecord, Decision, EndpointLease, Resolved, WaiterId};
use standins::engine::{EngineEvent, Job, JobId};
use types::{EndpointName, Timestamp};
use utils::{HashMap, Rng, jitter, seeded_rng};

use super::{
    deployment::{CALLER_LATENCY, Deployment},
    measurement::{Measurement, RoutingRow},
    request::{Place, Request, patience},
    router_policy::{PolicyName, RouterPolicy},
    scenario::{Fault, Scenario, WARM_UP},
    sim_engine::SimEngine,
    workload::Workload,
};

/// Mean time between two load polls of a router to an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two sweeps of a router's queue.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time from a crash until the engine is back.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Time between two crashes of an engine that crashes again and again.
const CRASH_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which a failure domain is gone.
const GONE_TIME: Duration = Duration::from_secs(15);

/// Time after which a connection to a host that is gone counts as not made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// What happens.
#[derive(Debug)]
enum Event {
    /// A caller's request reaches its router.
    Arrive(usize),
    /// The time that a caller gave its attempt is over.
    Deadline { request: usize, attempt: u32 },
    /// A job reaches its engine.
    Submit(u64),
    /// A step of an engine ends.
    StepEnd { engine: usize, incarnation: u32, duration: Duration },
    /// The first token of a job reaches its router.
    FirstToken { job: u64, latency: Duration },
    /// The end of a job reaches its router.
    JobEnd { job: u64, outcome: AttemptOutcome },
    /// A router polls the load of an engine.
    Poll { router: usize, engine: usize },
    /// A router sweeps its queue.
    Sweep(usize),
    /// What one router knows of a content that crashes engines reaches another.
    Crash { router: usize, record: Box<CrashRecord> },
    /// An engine crashes by itself, again and again.
    CrashEngine(usize),
    /// A failure domain is gone.
    LoseDomain(usize),
    /// An engine is back.
    Restart(usize),
}

/// An attempt on an engine.
#[derive(Debug)]
struct Attempt {
    /// Request.
    request: usize,
    /// Engine.
    engine: usize,
    /// The router's lease.
    lease: EndpointLease,
    /// When the router sent it.
    sent_at: Timestamp,
    /// Whether its first token has been generated.
    has_first_token: bool,
}

/// The simulation.
struct Simulation {
    /// Deployment.
    deployment: &'static Deployment,
    /// Present time.
    now: Timestamp,
    /// Events to come, by time and number.
    events: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// Events by number.
    bodies: HashMap<u64, Event>,
    /// Number of the next event.
    next_event: u64,
    /// Random numbers of the policies.
    rng: Rng,
    /// Requests.
    requests: Vec<Request>,
    /// Requests that wait, by router and number.
    waiting: HashMap<(usize, WaiterId), usize>,
    /// Attempts in progress, by job.
    attempts: HashMap<u64, Attempt>,
    /// Number of the next job.
    next_job: u64,
    /// Engines.
    engines: Vec<SimEngine>,
    /// Numbers of the engines by name.
    engine_ids: HashMap<EndpointName, usize>,
    /// Routers.
    routers: Vec<Box<dyn RouterPolicy>>,
    /// What is measured.
    measurement: Measurement,
}

/// Runs one scenario under one policy.
pub(super) fn simulate(scenario: &Scenario, policy: PolicyName, seed: u64) -> RoutingRow {
    let deployment = scenario.deployment;
    let capacity = Workload::new(deployment, seeded_rng(seed)).measure_capacity();
    let (start, end) = (Timestamp::ZERO + WARM_UP, Timestamp::ZERO + WARM_UP + scenario.measured);
    let mut workload = Workload::new(deployment, seeded_rng(seed));
    let mut specs = workload.arrivals(capacity.requests_per_s * scenario.load, end);
    if scenario.fault == Fault::Poison {
        specs.extend(workload.poison_arrivals(start, end));
    }
    let mut simulation = Simulation::new(scenario, policy, seed, Measurement::new(start, end));
    for spec in &specs {
        simulation.add_request(Request::new(spec));
    }
    simulation.schedule_faults(scenario, start);
    simulation.run(end);
    let counts = simulation.engines.iter().map(SimEngine::cache_counts);
    let counts = counts.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    simulation.measurement.into_row(scenario, policy, capacity.tokens_per_s, counts)
}

impl Simulation {
    fn new(
        scenario: &Scenario,
        policy: PolicyName,
        seed: u64,
        measurement: Measurement,
    ) -> Simulation {
        let deployment = scenario.deployment;
        let cfg = deployment.config();
        let is_slow = |index: usize| scenario.fault == Fault::SlowEndpoint && index == 0;
        let engines: Vec<SimEngine> =
            (0..deployment.engines).map(|index| SimEngine::new(index, is_slow(index))).collect();
        let engine_ids = engines.iter().enumerate().map(|(id, it)| (it.name.clone(), id));
        let create = |router| policy.create(deployment, router, &cfg);
        let mut simulation = Simulation {
            deployment,
            now: Timestamp::ZERO,
            events: BinaryHeap::new(),
            bodies: HashMap::default(),
            next_event: 0,
            rng: seeded_rng(seed.wrapping_add(1)),
            requests: Vec::new(),
            waiting: HashMap::default(),
            attempts: HashMap::default(),
            next_job: 0,
            engine_ids: engine_ids.collect(),
            engines,
            routers: (0..deployment.routers).map(create).collect(),
            measurement,
        };
        for router in 0..deployment.routers {
            simulation.schedule(SWEEP_INTERVAL, Event::Sweep(router));
            for engine in 0..deployment.engines {
                let offset = POLL_INTERVAL.mul_f64(simulation.rng.random_range(0.0..1.0));
                simulation.schedule(offset, Event::Poll { router, engine });
            }
        }
        simulation
    }

    fn add_request(&mut self, request: Request) {
        let at = request.sent_at + CALLER_LATENCY;
        if self.measurement.includes(request.sent_at) {
            self.measurement.requests += 1;
        }
        self.requests.push(request);
        self.schedule_at(at, Event::Arrive(self.requests.len() - 1));
    }

    fn schedule_faults(&mut self, scenario: &Scenario, start: Timestamp) {
        match scenario.fault {
            Fault::CrashingEndpoint => self.schedule_at(start, Event::CrashEngine(0)),
            Fault::FailureDomainGone => {
                self.schedule_at(start + Duration::from_secs(5), Event::LoseDomain(0));
            }
            Fault::None | Fault::SlowEndpoint | Fault::Poison => {}
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event)));
        self.bodies.insert(self.next_event, event);
    }

    fn run(&mut self, end: Timestamp) {
        while let Some(Reverse((at, number))) = self.events.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            let event = self.bodies.remove(&number).expect("each event has a body");
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.on_arrive(request),
            Event::Deadline { request, attempt } => self.on_deadline(request, attempt),
            Event::Submit(job) => self.on_submit(job),
            Event::StepEnd { engine, incarnation, duration } => {
                self.on_step_end(engine, incarnation, duration);
            }
            Event::FirstToken { job, latency } => self.on_first_token(job, latency),
            Event::JobEnd { job, outcome } => self.on_job_end(job, outcome),
            Event::Poll { router, engine } => self.on_poll(router, engine),
            Event::Sweep(router) => self.on_sweep(router),
            Event::Crash { router, record } => {
                self.routers[router].on_crash_record(&record, self.now);
                self.resolve(router);
            }
            Event::CrashEngine(engine) => {
                self.crash_engine(engine, Duration::ZERO, RESTART_TIME);
                self.schedule(CRASH_INTERVAL, Event::CrashEngine(engine));
            }
            Event::LoseDomain(domain) => {
                for engine in 0..self.engines.len() {
                    if self.deployment.domain_of(engine) == domain {
                        self.crash_engine(engine, CONNECT_TIMEOUT, GONE_TIME);
                    }
                }
            }
            Event::Restart(engine) => self.engines[engine].is_up = true,
        }
    }

    fn on_arrive(&mut self, id: usize) {
        let request = &mut self.requests[id];
        request.need.deadline = self.now + patience(request.need.priority);
        request.need.avoid.clear();
        request.attempt += 1;
        self.submit(id);
        let request = &self.requests[id];
        if matches!(request.place, Place::Queue(_) | Place::Engine(_)) {
            let event = Event::Deadline { request: id, attempt: request.attempt };
            self.schedule_at(request.need.deadline, event);
        }
    }

    /// Asks the router of a request for an engine.
    fn submit(&mut self, id: usize) {
        let request = &mut self.requests[id];
        let router = request.router;
        request.place = Place::Caller;
        match self.routers[router].submit(&request.need, self.now, &mut self.rng) {
            Decision::Place(lease) => self.start_attempt(id, lease),
            Decision::Wait(waiter) => {
                request.place = Place::Queue(waiter);
                self.waiting.insert((router, waiter), id);
                self.resolve(router);
            }
            Decision::Refuse(error) => self.on_refused(id, &error),
        }
    }

    /// The caller of a refused request sends it again at once.
    fn on_refused(&mut self, id: usize, error: &Error) {
        self.requests[id].place = Place::Caller;
        if self.measurement.includes(self.now) {
            self.measurement.refused_attempts += 1;
        }
        if error.kind() == ErrorKind::Quarantined {
            self.requests[id].place = Place::Ended;
        } else {
            self.schedule(CALLER_LATENCY * 2, Event::Arrive(id));
        }
    }

    fn start_attempt(&mut self, id: usize, lease: EndpointLease) {
        self.next_job += 1;
        let job = self.next_job;
        let engine = self.engine_ids[&lease.endpoint];
        let router = self.requests[id].router;
        self.requests[id].place = Place::Engine(job);
        let (sent_at, has_first_token) = (self.now, false);
        let attempt = Attempt { request: id, engine, lease, sent_at, has_first_token };
        self.attempts.insert(job, attempt);
        self.schedule(self.deployment.latency(router, engine), Event::Submit(job));
    }

    fn on_submit(&mut self, job: u64) {
        let Some(attempt) = self.attempts.get(&job) else { return };
        let (request, engine) = (&self.requests[attempt.request], attempt.engine);
        if !self.engines[engine].is_up {
            let delay = self.deployment.latency(request.router, engine);
            let delay = delay.max(self.engines[engine].silence);
            self.schedule(delay, Event::JobEnd { job, outcome: AttemptOutcome::NotSent });
            return;
        }
        let need = &request.need;
        self.engines[engine].submit(Job {
            id: JobId(job),
            priority: self.routers[request.router].engine_priority(need),
            prompt_tokens: need.prompt_tokens + request.received,
            blocks: need.blocks.clone(),
            output_tokens: (request.output_tokens - request.received).max(1),
            is_poison: request.is_poison,
        });
        self.start_step(engine);
    }

    fn start_step(&mut self, engine: usize) {
        if let Some(duration) = self.engines[engine].start_step() {
            let incarnation = self.engines[engine].incarnation;
            self.schedule(duration, Event::StepEnd { engine, incarnation, duration });
        }
    }

    fn on_step_end(&mut self, engine: usize, incarnation: u32, duration: Duration) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for event in self.engines[engine].end_step(duration, self.now) {
            match event {
                EngineEvent::Token(job) => self.on_token(job, false),
                EngineEvent::Finished(job) => self.on_token(job, true),
                EngineEvent::Crashed(_) => {
                    self.crash_engine(engine, Duration::ZERO, RESTART_TIME);
                    return;
                }
            }
        }
        self.start_step(engine);
    }

    fn on_token(&mut self, job: JobId, is_last: bool) {
        let Some(attempt) = self.attempts.get_mut(&job.0) else { return };
        let request = &mut self.requests[attempt.request];
        let to_router = self.deployment.latency(request.router, attempt.engine);
        let at = self.now + to_router + CALLER_LATENCY;
        request.received += 1;
        match request.last_token_at.replace(at) {
            Some(last) => self.measurement.on_next_token(at.since(last), at),
            None => {
                request.first_token_at = Some(at);
                let latency = at.since(request.sent_at);
                self.measurement.on_first_token(request.need.priority, latency, at);
            }
        }
        let is_first = !std::mem::replace(&mut attempt.has_first_token, true);
        let latency = (self.now + to_router).since(attempt.sent_at);
        if is_last {
            self.engines[attempt.engine].cancel(job);
        }
        if is_first {
            self.schedule(to_router, Event::FirstToken { job: job.0, latency });
        }
        if is_last {
            let outcome = AttemptOutcome::Completed;
            self.schedule(to_router, Event::JobEnd { job: job.0, outcome });
        }
    }

    fn on_first_token(&mut self, job: u64, latency: Duration) {
        let Some(attempt) = self.attempts.get(&job) else { return };
        let router = self.requests[attempt.request].router;
        self.routers[router].on_first_token(attempt.lease.id, latency, self.now);
        self.resolve(router);
    }

    fn on_job_end(&mut self, job: u64, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(&job) else { return };
        let id = attempt.request;
        self.finish_lease(&attempt, outcome);
        let request = &mut self.requests[id];
        let router = request.router;
        if outcome == AttemptOutcome::Completed {
            request.place = Place::Ended;
            self.measurement.on_completed(request.output_tokens, self.now + CALLER_LATENCY);
        } else {
            request.need.avoid.push(attempt.lease.endpoint);
            if self.routers[router].may_retry(&request.need, self.now) {
                self.submit(id);
            } else {
                // The caller got an error and sends the request again.
                self.end_caller_attempt(id);
            }
        }
        self.resolve(router);
    }

    fn finish_lease(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let router = self.requests[attempt.request].router;
        let lease = attempt.lease.id;
        let record = self.routers[router].finish(lease, outcome, self.now, &mut self.rng);
        let Some(record) = record else { return };
        for other in (0..self.routers.len()).filter(|it| *it != router) {
            let record = Box::new(record.clone());
            self.schedule(self.deployment.latency, Event::Crash { router: other, record });
        }
    }

    fn on_deadline(&mut self, id: usize, attempt: u32) {
        let request = &self.requests[id];
        if request.attempt != attempt {
            return;
        }
        let router = request.router;
        match request.place {
            Place::Caller | Place::Ended => return,
            Place::Queue(waiter) => {
                self.waiting.remove(&(router, waiter));
                self.routers[router].cancel(waiter);
            }
            Place::Engine(job) => {
                if let Some(attempt) = self.attempts.remove(&job) {
                    self.engines[attempt.engine].cancel(JobId(job));
                    self.finish_lease(&attempt, AttemptOutcome::Cancelled);
                }
            }
        }
        if self.measurement.includes(self.now) {
            self.measurement.timed_out_attempts += 1;
        }
        self.end_caller_attempt(id);
        self.resolve(router);
    }

    /// Ends an attempt of a caller without an answer; it sends the request again.
    fn end_caller_attempt(&mut self, id: usize) {
        let request = &mut self.requests[id];
        if self.measurement.includes(self.now) {
            self.measurement.wasted_tokens += request.received;
        }
        request.received = 0;
        request.place = Place::Caller;
        self.schedule(CALLER_LATENCY * 2, Event::Arrive(id));
    }

    fn on_poll(&mut self, router: usize, engine: usize) {
        let report = self.engines[engine].lagging_report(self.now);
        let name = &self.engines[engine].name;
        self.routers[router].on_report(name, report.as_ref(), self.now);
        self.resolve(router);
        let pause = jitter(POLL_INTERVAL, &mut self.rng);
        self.schedule(pause, Event::Poll { router, engine });
    }

    fn on_sweep(&mut self, router: usize) {
        let resolved = self.routers[router].sweep(self.now);
        self.apply_resolved(router, resolved);
        self.resolve(router);
        self.schedule(SWEEP_INTERVAL, Event::Sweep(router));
    }

    /// Lets a router resolve requests that wait.
    fn resolve(&mut self, router: usize) {
        let resolved = self.routers[router].poll(self.now, &mut self.rng);
        self.apply_resolved(router, resolved);
    }

    fn apply_resolved(&mut self, router: usize, resolved: Vec<Resolved>) {
        for one in resolved {
            let Some(id) = self.waiting.remove(&(router, one.waiter)) else { continue };
            match one.result {
                Ok(lease) => self.start_attempt(id, lease),
                Err(error) => self.on_refused(id, &error),
            }
        }
    }

    fn crash_engine(&mut self, engine: usize, silence: Duration, down: Duration) {
        if !self.engines[engine].is_up {
            return;
        }
        if self.measurement.includes(self.now) {
            self.measurement.crashes += 1;
        }
        for job in self.engines[engine].crash(silence) {
            let Some(attempt) = self.attempts.get(&job.0) else { continue };
            let router = self.requests[attempt.request].router;
            let delay = self.deployment.latency(router, engine);
            let outcome = AttemptOutcome::Lost;
            self.schedule(delay, Event::JobEnd { job: job.0, outcome });
        }
        self.schedule(down, Event::Restart(engine));
    }
}
