//! A scheduler in front of simulated engines.

use std::time::Duration;

use config::{Config, Model, Service};
use engine_api::{LoadReport, LoadState, LoadedModel};
use routing::{
    AttemptOutcome, Decision, EndpointLease, EndpointNeed, EndpointState, Scheduler,
    SchedulerSettings, Target, WaiterId,
};
use types::{
    AccountName, EndpointName, FailureDomain, ModelName, ModelVersion, Priority, RouterName,
    ServiceName, Timestamp,
};
use utils::{Digest, Rng, seeded_rng};

pub(crate) const DOMAINS: [&str; 2] = ["zlin", "vsetin"];

/// A scheduler with a seeded random number generator and a simulated clock.
pub(crate) struct Fixture {
    pub(crate) scheduler: Scheduler,
    pub(crate) rng: Rng,
    pub(crate) now: Timestamp,
}

impl Fixture {
    /// Creates a scheduler with `engines` idle engines with a batch of 4, alternating
    /// between two failure domains.
    pub(crate) fn new(engines: usize) -> Fixture {
        let router = RouterName::new("router-1").unwrap();
        let domain = FailureDomain::new(DOMAINS[0]).unwrap();
        let scheduler = Scheduler::new(router, domain, SchedulerSettings::default());
        let mut fixture =
            Fixture { scheduler, rng: seeded_rng(1), now: Timestamp::from_millis(10_000) };
        fixture.scheduler.apply_config(&config_with(engines));
        (0..engines).for_each(|number| fixture.report(number, &ready_report()));
        fixture
    }

    pub(crate) fn report(&mut self, number: usize, report: &LoadReport) {
        self.scheduler.on_report(&engine(number), report, self.now);
    }

    pub(crate) fn submit(&mut self, need: &EndpointNeed) -> Decision {
        self.scheduler.submit(need, self.now, &mut self.rng)
    }

    pub(crate) fn place(&mut self, need: &EndpointNeed) -> EndpointLease {
        match self.submit(need) {
            Decision::Place(lease) => lease,
            other => panic!("expected a placement, got {other:?}"),
        }
    }

    pub(crate) fn wait(&mut self, need: &EndpointNeed) -> WaiterId {
        match self.submit(need) {
            Decision::Wait(id) => id,
            other => panic!("expected the request to wait, got {other:?}"),
        }
    }

    pub(crate) fn refusal(&mut self, need: &EndpointNeed) -> errors::Error {
        match self.submit(need) {
            Decision::Refuse(error) => error,
            other => panic!("expected a refusal, got {other:?}"),
        }
    }

    pub(crate) fn finish(&mut self, lease: &EndpointLease, outcome: AttemptOutcome) {
        self.scheduler.finish(lease.id, outcome, self.now, &mut self.rng);
    }

    /// Polls the scheduler and returns the waiters that were placed.
    pub(crate) fn granted(&mut self) -> Vec<(WaiterId, EndpointLease)> {
        let resolved = self.scheduler.poll(self.now, &mut self.rng);
        resolved.into_iter().map(|it| (it.waiter, it.result.unwrap())).collect()
    }

    pub(crate) fn state(&self, number: usize) -> EndpointState {
        let status = self.scheduler.status(self.now);
        status.iter().find(|it| it.name == engine(number)).unwrap().state
    }

    pub(crate) fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }
}

pub(crate) fn engine(number: usize) -> EndpointName {
    EndpointName::new(&format!("engine-{number}")).unwrap()
}

pub(crate) fn model() -> ModelName {
    ModelName::new("barrel-7b").unwrap()
}

pub(crate) fn version(name: &str) -> ModelVersion {
    ModelVersion::new(name).unwrap()
}

pub(crate) fn config_with(engines: usize) -> Config {
    let mut cfg = Config::default();
    for number in 0..engines {
        let endpoint = config::Endpoint {
            address: format!("127.0.0.{}:80", number + 1).parse().unwrap(),
            failure_domain: FailureDomain::new(DOMAINS[number % 2]).unwrap(),
            checks_fencing: false,
            leaving: false,
        };
        cfg.endpoints.insert(engine(number), endpoint);
    }
    let names: std::collections::BTreeSet<_> = (0..engines).map(engine).collect();
    cfg.models.insert(model(), Model { endpoints: names.clone(), ..Model::default() });
    cfg.services.insert(ServiceName::new("portal").unwrap(), Service { endpoints: names });
    cfg
}

pub(crate) fn loaded(name: &str, state: LoadState) -> LoadedModel {
    LoadedModel { model: model(), version: version(name), adapters: Vec::new(), state }
}

pub(crate) fn ready_report() -> LoadReport {
    let models = vec![loaded("v1", LoadState::Ready)];
    LoadReport { max_batch: 4, step_us: 8_000, models, ..LoadReport::default() }
}

pub(crate) fn need(content: &str) -> EndpointNeed {
    EndpointNeed {
        target: Target::Model { model: model(), versions: vec![version("v1")], adapter: None },
        account: AccountName::new("cooperative").unwrap(),
        weight: 1,
        priority: Priority::Normal,
        blocks: (0..8).map(|block| utils::stable_hash(&[content.as_bytes(), &[block]])).collect(),
        prompt_tokens: 600,
        max_output_tokens: 100,
        deadline: Timestamp::from_millis(60_000),
        avoid: Vec::new(),
        fingerprint: Digest::from_content(content.as_bytes()),
    }
}
