//! The scheduler under events: choice, queue, refusals, ejection, trials.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use config::{Config, Model, Service};
use engine_api::{LoadReport, LoadState, LoadedModel};
use errors::ErrorKind;
use routing::{
    AttemptOutcome, Decision, EndpointLease, EndpointNeed, EndpointState, Scheduler,
    SchedulerSettings, Target, Verdict, WaiterId,
};
use types::{
    AccountName, EndpointName, FailureDomain, ModelName, ModelVersion, Priority, RouterName,
    ServiceName, Timestamp,
};
use utils::{Digest, Rng, seeded_rng};

const DOMAINS: [&str; 2] = ["zlin", "vsetin"];

/// Normal requests that an engine of batch 4 gets: its batch and one that waits.
const PLACES: usize = 5;

/// A scheduler, its random numbers and the present time.
struct Bed {
    scheduler: Scheduler,
    rng: Rng,
    now: Timestamp,
}

impl Bed {
    /// Creates a scheduler with `engines` idle engines of batch 4, alternately in two
    /// failure domains.
    fn new(engines: usize) -> Bed {
        let router = RouterName::new("router-1").unwrap();
        let domain = FailureDomain::new(DOMAINS[0]).unwrap();
        let scheduler = Scheduler::new(router, domain, SchedulerSettings::default());
        let mut bed = Bed { scheduler, rng: seeded_rng(1), now: Timestamp::from_millis(10_000) };
        bed.scheduler.apply_config(&config_with(engines));
        (0..engines).for_each(|number| bed.report(number, &ready_report()));
        bed
    }

    fn report(&mut self, number: usize, report: &LoadReport) {
        self.scheduler.on_report(&engine(number), report, self.now);
    }

    fn submit(&mut self, need: &EndpointNeed) -> Decision {
        self.scheduler.submit(need, self.now, &mut self.rng)
    }

    fn place(&mut self, need: &EndpointNeed) -> EndpointLease {
        match self.submit(need) {
            Decision::Place(lease) => lease,
            other => panic!("not placed: {other:?}"),
        }
    }

    fn wait(&mut self, need: &EndpointNeed) -> WaiterId {
        match self.submit(need) {
            Decision::Wait(id) => id,
            other => panic!("does not wait: {other:?}"),
        }
    }

    fn refusal(&mut self, need: &EndpointNeed) -> errors::Error {
        match self.submit(need) {
            Decision::Refuse(error) => error,
            other => panic!("not refused: {other:?}"),
        }
    }

    fn finish(&mut self, lease: &EndpointLease, outcome: AttemptOutcome) {
        self.scheduler.finish(lease.id, outcome, self.now, &mut self.rng);
    }

    /// Returns the waiters that were granted a place.
    fn granted(&mut self) -> Vec<(WaiterId, EndpointLease)> {
        let resolved = self.scheduler.poll(self.now, &mut self.rng);
        resolved.into_iter().map(|it| (it.waiter, it.result.unwrap())).collect()
    }

    fn state(&self, number: usize) -> EndpointState {
        let status = self.scheduler.status(self.now);
        status.iter().find(|it| it.name == engine(number)).unwrap().state
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }
}

fn engine(number: usize) -> EndpointName {
    EndpointName::new(&format!("engine-{number}")).unwrap()
}

fn model() -> ModelName {
    ModelName::new("barrel-7b").unwrap()
}

fn version(name: &str) -> ModelVersion {
    ModelVersion::new(name).unwrap()
}

fn config_with(engines: usize) -> Config {
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

fn loaded(name: &str, state: LoadState) -> LoadedModel {
    LoadedModel { model: model(), version: version(name), adapters: Vec::new(), state }
}

fn ready_report() -> LoadReport {
    let models = vec![loaded("v1", LoadState::Ready)];
    LoadReport { max_batch: 4, step_us: 8_000, models, ..LoadReport::default() }
}

fn need(content: &str) -> EndpointNeed {
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

#[test]
fn request_follows_its_cached_prefix_until_the_endpoint_is_loaded() {
    let mut bed = Bed::new(8);
    let first = bed.place(&need("session"));
    bed.scheduler.on_first_token(first.id, Duration::from_millis(20), bed.now);
    bed.finish(&first, AttemptOutcome::Completed);
    let again = bed.place(&need("session"));
    assert_eq!(again.endpoint, first.endpoint);
    let more: Vec<_> = (0..8).map(|_| bed.place(&need("session"))).collect();
    let on_first = more.iter().filter(|it| it.endpoint == first.endpoint).count();
    assert!(on_first < 4, "the popular prefix made a hot spot: {on_first} of 8");
}

#[test]
fn reported_load_of_other_routers_keeps_work_away() {
    let mut bed = Bed::new(2);
    // The mean counts: a single report is no reason to leave an engine.
    (0..400).for_each(|_| bed.report(0, &LoadReport { running: 5, ..ready_report() }));
    let leases: Vec<_> = (0..2).map(|number| bed.place(&need(&number.to_string()))).collect();
    assert!(leases.iter().all(|it| it.endpoint == engine(1)));
}

#[test]
fn leaving_endpoint_gets_no_new_work_whatever_the_sign() {
    let mut bed = Bed::new(2);
    bed.report(0, &LoadReport { leaving: true, ..ready_report() });
    assert_eq!(bed.state(0), EndpointState::Leaving);
    assert_eq!(bed.place(&need("a")).endpoint, engine(1));

    bed.report(0, &ready_report());
    let hosts = ["127.0.0.1".parse().unwrap()].into_iter().collect();
    bed.scheduler.apply_leaving_hosts(&hosts);
    assert_eq!(bed.place(&need("b")).endpoint, engine(1));

    bed.scheduler.apply_leaving_hosts(&Default::default());
    let mut cfg = config_with(2);
    cfg.endpoints.get_mut(&engine(0)).unwrap().leaving = true;
    bed.scheduler.apply_config(&cfg);
    assert_eq!(bed.place(&need("c")).endpoint, engine(1));
    assert_eq!(
        bed.refusal(&EndpointNeed { avoid: vec![engine(1)], ..need("d") }).kind(),
        ErrorKind::NoEndpoint
    );
}

#[test]
fn refusing_endpoint_gets_no_work_for_a_while() {
    let mut bed = Bed::new(2);
    let first = bed.place(&need("a"));
    let other = EndpointNeed { avoid: vec![first.endpoint.clone()], ..need("b") };
    let other = bed.place(&other).endpoint;
    bed.finish(&first, AttemptOutcome::Refused);
    assert_eq!(bed.place(&need("c")).endpoint, other);
    bed.advance(2_000);
    assert_eq!(bed.place(&need("a")).endpoint, first.endpoint);
}

#[test]
fn full_endpoints_keep_a_place_for_urgent_requests() {
    let mut bed = Bed::new(1);
    let leases: Vec<_> = (0..PLACES).map(|number| bed.place(&need(&number.to_string()))).collect();
    let normal = bed.wait(&need("normal"));
    drop(bed.place(&EndpointNeed { priority: Priority::Urgent, ..need("urgent") }));
    assert!(bed.granted().is_empty());
    bed.finish(&leases[0], AttemptOutcome::Completed);
    bed.finish(&leases[1], AttemptOutcome::Completed);
    let granted = bed.granted();
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].0, normal);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once_with_a_delay() {
    let mut bed = Bed::new(1);
    let leases: Vec<_> = (0..PLACES).map(|number| bed.place(&need(&number.to_string()))).collect();
    bed.advance(2_000);
    bed.finish(&leases[0], AttemptOutcome::Completed);
    drop(bed.place(&need("long")));
    let (mut delays, mut waiting) = (Vec::new(), 0);
    for number in 0..400 {
        let deadline = bed.now + Duration::from_secs(4);
        match bed.submit(&EndpointNeed { deadline, ..need(&format!("w{number}")) }) {
            Decision::Wait(_) => waiting += 1,
            Decision::Refuse(error) => {
                assert_eq!(error.kind(), ErrorKind::Overloaded);
                delays.push(error.retry_delay().unwrap());
            }
            Decision::Place(lease) => panic!("placed: {lease:?}"),
        }
    }
    assert!(waiting > 10 && !delays.is_empty(), "{waiting} wait, {} refused", delays.len());
    assert!(delays.iter().all(|it| *it >= Duration::from_millis(100)));
}

#[test]
fn account_with_a_full_queue_does_not_shut_out_another() {
    let mut bed = Bed::new(1);
    (0..PLACES).for_each(|number| drop(bed.place(&need(&number.to_string()))));
    let full = SchedulerSettings::default().account_queue_max;
    let late = |content: &str| EndpointNeed { deadline: Timestamp(u64::MAX), ..need(content) };
    for number in 0..full {
        bed.wait(&late(&format!("w{number}")));
    }
    assert_eq!(bed.refusal(&late("x")).kind(), ErrorKind::QueueFull);
    bed.wait(&EndpointNeed { account: AccountName::new("master").unwrap(), ..late("y") });
}

#[test]
fn waiting_request_is_refused_at_its_deadline_and_a_withdrawn_one_forgotten() {
    let mut bed = Bed::new(1);
    (0..PLACES).for_each(|number| drop(bed.place(&need(&number.to_string()))));
    let deadline = bed.now + Duration::from_secs(1);
    let late = bed.wait(&EndpointNeed { deadline, ..need("late") });
    let gone = bed.wait(&need("gone"));
    bed.scheduler.cancel(gone);
    assert!(bed.scheduler.sweep(bed.now).is_empty());
    bed.advance(1_000);
    let swept = bed.scheduler.sweep(bed.now);
    assert_eq!(swept.len(), 1);
    assert_eq!(swept[0].waiter, late);
    assert_eq!(swept[0].result.as_ref().unwrap_err().kind(), ErrorKind::DeadlineBeforeRun);
    assert_eq!(bed.scheduler.waiting(), 0);
}

#[test]
fn failing_endpoint_is_ejected_probed_and_started_slowly() {
    let mut bed = Bed::new(4);
    let only = |number: usize| EndpointNeed {
        avoid: (0..4).filter(|&it| it != number).map(engine).collect(),
        ..need("x")
    };
    for _ in 0..3 {
        let lease = bed.place(&only(0));
        bed.finish(&lease, AttemptOutcome::NotSent);
    }
    assert_eq!(bed.state(0), EndpointState::Ejected);
    assert_eq!(bed.refusal(&only(0)).kind(), ErrorKind::NoEndpoint);
    bed.report(0, &ready_report());
    assert_eq!(bed.state(0), EndpointState::Ejected, "a probe counts after the ejection only");
    bed.advance(1_000);
    bed.report(0, &ready_report());
    assert_eq!(bed.state(0), EndpointState::Serving);
    drop(bed.place(&only(0)));
    bed.wait(&only(0));
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let mut bed = Bed::new(4);
    for number in 0..4 {
        (0..5).for_each(|_| bed.scheduler.on_report_failed(&engine(number), bed.now));
    }
    let ejected = (0..4).filter(|&number| bed.state(number) == EndpointState::Ejected).count();
    assert_eq!(ejected, 2);
    drop(bed.place(&need("still served")));
}

#[test]
fn retry_goes_to_another_failure_domain() {
    let mut bed = Bed::new(6);
    for number in 0..20 {
        let content = format!("request {number}");
        let first = bed.place(&need(&content));
        bed.finish(&first, AttemptOutcome::NotSent);
        bed.finish_all_failures();
        let retry = EndpointNeed { avoid: vec![first.endpoint.clone()], ..need(&content) };
        let second = bed.place(&retry);
        assert_ne!(second.failure_domain, first.failure_domain);
        bed.finish(&second, AttemptOutcome::Completed);
    }
}

impl Bed {
    /// Lets every endpoint succeed once, so that none is suspect.
    fn finish_all_failures(&mut self) {
        for number in 0..6 {
            let only = EndpointNeed {
                avoid: (0..6).filter(|&it| it != number).map(engine).collect(),
                ..need(&format!("probe {number}"))
            };
            let lease = self.place(&only);
            self.finish(&lease, AttemptOutcome::Completed);
        }
    }
}

#[test]
fn crash_suspect_runs_alone_and_its_second_loss_quarantines_it() {
    let mut bed = Bed::new(3);
    let poison = need("poison");
    let first = bed.place(&poison);
    let bystander = EndpointNeed {
        avoid: (0..3).map(engine).filter(|it| *it != first.endpoint).collect(),
        ..need("bystander")
    };
    let beside = bed.place(&bystander);
    assert_eq!(beside.endpoint, first.endpoint);
    bed.finish(&first, AttemptOutcome::Lost);
    bed.finish(&beside, AttemptOutcome::Lost);
    for content in ["poison", "bystander"] {
        let fingerprint = Digest::from_content(content.as_bytes());
        assert_eq!(bed.scheduler.quarantine().verdict(&fingerprint), Verdict::Suspect);
    }

    // Each runs alone on an endpoint of its own, one after the other.
    let lost = vec![first.endpoint.clone()];
    let poison = EndpointNeed { avoid: lost.clone(), ..poison };
    let waiters = [bed.wait(&poison), bed.wait(&EndpointNeed { avoid: lost, ..need("bystander") })];
    let mut granted = bed.granted();
    assert_eq!(granted.len(), 1);
    let (waiter, trial) = granted.remove(0);
    assert_eq!(waiter, waiters[0]);
    let elsewhere = bed.place(&need("other"));
    assert_ne!(elsewhere.endpoint, trial.endpoint, "the trial's endpoint takes no other work");
    bed.finish(&elsewhere, AttemptOutcome::Completed);
    bed.finish(&trial, AttemptOutcome::Lost);
    let verdict = bed.scheduler.quarantine().verdict(&poison.fingerprint);
    assert_eq!(verdict, Verdict::Quarantined);
    assert_eq!(bed.refusal(&need("poison")).kind(), ErrorKind::Quarantined);

    let mut granted = bed.granted();
    let (waiter, trial) = granted.remove(0);
    assert_eq!(waiter, waiters[1]);
    bed.finish(&trial, AttemptOutcome::Completed);
    let fingerprint = Digest::from_content(b"bystander");
    assert_eq!(bed.scheduler.quarantine().verdict(&fingerprint), Verdict::Clear);
}

#[test]
fn request_waits_for_a_load_or_takes_the_version_that_is_ready() {
    let mut bed = Bed::new(2);
    let loading = vec![loaded("v1", LoadState::Ready), loaded("v2", LoadState::Loading)];
    let report = LoadReport { models: loading, ..ready_report() };
    (0..2).for_each(|number| bed.report(number, &report));
    let versions = |names: &[&str]| Target::Model {
        model: model(),
        versions: names.iter().map(|name| version(name)).collect(),
        adapter: None,
    };
    let either = EndpointNeed { target: versions(&["v2", "v1"]), ..need("either") };
    assert_eq!(bed.place(&either).version, Some(version("v1")));
    let only = EndpointNeed { target: versions(&["v2"]), ..need("only") };
    let waiter = bed.wait(&only);
    assert!(bed.granted().is_empty());

    bed.advance(3_000);
    let ready = vec![loaded("v1", LoadState::Ready), loaded("v2", LoadState::Ready)];
    bed.report(0, &LoadReport { models: ready, ..ready_report() });
    let granted = bed.granted();
    assert_eq!(granted[0].0, waiter);
    assert_eq!(granted[0].1.version, Some(version("v2")));
    assert_eq!(bed.place(&either).version, Some(version("v2")));

    // The load took three seconds, so that a request that must end earlier is refused.
    let loading = vec![loaded("v3", LoadState::Loading)];
    bed.report(1, &LoadReport { models: loading, ..ready_report() });
    let deadline = bed.now + Duration::from_secs(1);
    let hasty = EndpointNeed { target: versions(&["v3"]), deadline, ..need("hasty") };
    let refusal = bed.refusal(&hasty);
    assert_eq!(refusal.kind(), ErrorKind::ModelLoading);
    assert!(refusal.retry_delay().unwrap() >= Duration::from_millis(1_500));
    let patient = EndpointNeed { deadline: bed.now + Duration::from_secs(10), ..hasty };
    bed.wait(&patient);
}

#[test]
fn service_is_probed_by_one_request() {
    let mut bed = Bed::new(2);
    let router = RouterName::new("router-2").unwrap();
    let domain = FailureDomain::new(DOMAINS[0]).unwrap();
    bed.scheduler = Scheduler::new(router, domain, SchedulerSettings::default());
    bed.scheduler.apply_config(&config_with(2));
    let target = Target::Service(ServiceName::new("portal").unwrap());
    let only = EndpointNeed { target, avoid: vec![engine(1)], ..need("order") };
    for _ in 0..3 {
        let lease = bed.place(&only);
        bed.finish(&lease, AttemptOutcome::TimedOut);
    }
    assert_eq!(bed.refusal(&only).kind(), ErrorKind::NoEndpoint);
    bed.advance(1_000);
    let probe = bed.place(&only);
    assert_eq!(bed.refusal(&only).kind(), ErrorKind::NoEndpoint);
    bed.finish(&probe, AttemptOutcome::Completed);
    drop(bed.place(&only));
}
