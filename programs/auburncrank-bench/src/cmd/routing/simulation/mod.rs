//! Discrete-event simulation of callers, routers and engines.

mod callers;
mod engines;
mod event;
mod routers;

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use rand::Rng as _;
use routing::{EndpointLease, WaiterId};
use types::{EndpointName, Timestamp};
use utils::{HashMap, Rng, seeded_rng};

use self::event::Event;
use super::{
    deployment::{CALLER_LATENCY, Deployment},
    measurement::{Measurement, RoutingRow},
    request::Request,
    router_policy::{PolicyName, RouterPolicy},
    scenario::{Fault, Scenario, WARM_UP},
    sim_engine::SimEngine,
    workload::Workload,
};

/// Mean interval at which a router polls the load of an engine.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which a router refuses queued requests that have waited too long.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// Time from a crash until the engine is up again.
const RESTART_TIME: Duration = Duration::from_secs(5);

/// Interval between two crashes of an engine that crashes repeatedly.
const CRASH_INTERVAL: Duration = Duration::from_secs(10);

/// Time for which the engines of a failed domain are down.
const DOMAIN_OUTAGE_TIME: Duration = Duration::from_secs(15);

/// Time after which a connection attempt to an unreachable host fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt of a router to run a request on an engine.
#[derive(Debug)]
struct Attempt {
    /// Index of the request.
    request: usize,
    /// Index of the engine.
    engine: usize,
    /// Lease that the router's policy returned.
    lease: EndpointLease,
    /// Time at which the router sent it.
    sent_at: Timestamp,
    /// Whether its first token has been generated.
    has_first_token: bool,
}

/// State of a simulation run.
struct Simulation {
    /// Simulated deployment.
    deployment: &'static Deployment,
    /// Current time.
    now: Timestamp,
    /// Time and number of each future event, earliest first.
    event_queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    /// Future events, by number.
    events_by_number: HashMap<u64, Event>,
    /// Number of the latest event.
    last_event: u64,
    /// Random numbers of the policies and of poll times.
    rng: Rng,
    /// All requests.
    requests: Vec<Request>,
    /// Requests in router queues, by router and waiter ID.
    waiting: HashMap<(usize, WaiterId), usize>,
    /// Attempts in progress, by job ID.
    attempts: HashMap<u64, Attempt>,
    /// ID of the latest job.
    last_job: u64,
    /// Simulated engines.
    engines: Vec<SimEngine>,
    /// Indexes of the engines, by name.
    engine_indexes: HashMap<EndpointName, usize>,
    /// Policies of the routers.
    routers: Vec<Box<dyn RouterPolicy>>,
    /// Measured values.
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
    let cache_counts = simulation.engines.iter().map(SimEngine::cache_counts);
    let cache_counts = cache_counts.fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    simulation.measurement.into_row(scenario, policy, capacity.tokens_per_s, cache_counts)
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
        let engine_indexes = engines.iter().enumerate().map(|(index, it)| (it.name.clone(), index));
        let create = |router| policy.create(deployment, router, &cfg);
        let mut simulation = Simulation {
            deployment,
            now: Timestamp::ZERO,
            event_queue: BinaryHeap::new(),
            events_by_number: HashMap::default(),
            last_event: 0,
            rng: seeded_rng(seed.wrapping_add(1)),
            requests: Vec::new(),
            waiting: HashMap::default(),
            attempts: HashMap::default(),
            last_job: 0,
            engine_indexes: engine_indexes.collect(),
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
            Fault::FailureDomainOutage => {
                self.schedule_at(start + Duration::from_secs(5), Event::DomainOutage(0));
            }
            Fault::None | Fault::SlowEndpoint | Fault::Poison => {}
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn schedule_at(&mut self, at: Timestamp, event: Event) {
        self.last_event += 1;
        self.event_queue.push(Reverse((at, self.last_event)));
        self.events_by_number.insert(self.last_event, event);
    }

    fn run(&mut self, end: Timestamp) {
        while let Some(Reverse((at, number))) = self.event_queue.pop() {
            if at >= end {
                return;
            }
            self.now = at;
            let event =
                self.events_by_number.remove(&number).expect("every queued number has an event");
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
            Event::CrashRecord { router, record } => {
                self.routers[router].on_crash_record(&record, self.now);
                self.resolve(router);
            }
            Event::CrashEngine(engine) => {
                self.crash_engine(engine, Duration::ZERO, RESTART_TIME);
                self.schedule(CRASH_INTERVAL, Event::CrashEngine(engine));
            }
            Event::DomainOutage(domain) => {
                for engine in 0..self.engines.len() {
                    if self.deployment.domain_of(engine) == domain {
                        self.crash_engine(engine, CONNECT_TIMEOUT, DOMAIN_OUTAGE_TIME);
                    }
                }
            }
            Event::Restart(engine) => self.engines[engine].is_up = true,
        }
    }
}
