//! Tests of the scheduler through its events: endpoint selection, queueing, refusals,
//! ejection and trials.

#![allow(clippy::unwrap_used)]

mod fixture;

use std::time::Duration;

use engine_api::{LoadReport, LoadState};
use errors::ErrorKind;
use routing::{
    AttemptOutcome, Decision, EndpointNeed, EndpointState, Scheduler, SchedulerSettings, Target,
    Verdict,
};
use types::{AccountName, FailureDomain, Priority, RouterName, ServiceName, Timestamp};
use utils::Digest;

use self::fixture::{
    DOMAINS, Fixture, config_with, engine, loaded, model, need, ready_report, version,
};

/// Normal requests that an engine with a batch of 4 gets: a full batch and one that waits
/// on the engine.
const ENGINE_REQUESTS_MAX: usize = 5;

#[test]
fn request_follows_its_cached_prefix_until_the_endpoint_is_loaded() {
    let mut fixture = Fixture::new(8);
    let first = fixture.place(&need("session"));
    fixture.scheduler.on_first_token(first.id, Duration::from_millis(20), fixture.now);
    fixture.finish(&first, AttemptOutcome::Completed);
    let again = fixture.place(&need("session"));
    assert_eq!(again.endpoint, first.endpoint);
    let more: Vec<_> = (0..8).map(|_| fixture.place(&need("session"))).collect();
    let on_first = more.iter().filter(|it| it.endpoint == first.endpoint).count();
    assert!(on_first < 4, "the popular prefix created a hot spot: {on_first} of 8 on one endpoint");
}

#[test]
fn reported_load_of_other_routers_keeps_work_away() {
    let mut fixture = Fixture::new(2);
    // The scheduler uses the mean load, so a single report does not divert requests.
    (0..400).for_each(|_| fixture.report(0, &LoadReport { running: 5, ..ready_report() }));
    let leases: Vec<_> = (0..2).map(|number| fixture.place(&need(&number.to_string()))).collect();
    assert!(leases.iter().all(|it| it.endpoint == engine(1)));
}

#[test]
fn endpoint_leaving_by_report_host_list_or_config_gets_no_new_work() {
    let mut fixture = Fixture::new(2);
    fixture.report(0, &LoadReport { leaving: true, ..ready_report() });
    assert_eq!(fixture.state(0), EndpointState::Leaving);
    assert_eq!(fixture.place(&need("a")).endpoint, engine(1));

    fixture.report(0, &ready_report());
    let hosts = ["127.0.0.1".parse().unwrap()].into_iter().collect();
    fixture.scheduler.apply_leaving_hosts(&hosts);
    assert_eq!(fixture.place(&need("b")).endpoint, engine(1));

    fixture.scheduler.apply_leaving_hosts(&Default::default());
    let mut cfg = config_with(2);
    cfg.endpoints.get_mut(&engine(0)).unwrap().leaving = true;
    fixture.scheduler.apply_config(&cfg);
    assert_eq!(fixture.place(&need("c")).endpoint, engine(1));
    assert_eq!(
        fixture.refusal(&EndpointNeed { avoid: vec![engine(1)], ..need("d") }).kind(),
        ErrorKind::NoEndpoint
    );
}

#[test]
fn refusing_endpoint_gets_no_work_for_a_while() {
    let mut fixture = Fixture::new(2);
    let first = fixture.place(&need("a"));
    let other = EndpointNeed { avoid: vec![first.endpoint.clone()], ..need("b") };
    let other = fixture.place(&other).endpoint;
    fixture.finish(&first, AttemptOutcome::Refused);
    assert_eq!(fixture.place(&need("c")).endpoint, other);
    fixture.advance(2_000);
    assert_eq!(fixture.place(&need("a")).endpoint, first.endpoint);
}

#[test]
fn full_endpoints_accept_one_more_urgent_request() {
    let mut fixture = Fixture::new(1);
    let leases: Vec<_> =
        (0..ENGINE_REQUESTS_MAX).map(|number| fixture.place(&need(&number.to_string()))).collect();
    let normal = fixture.wait(&need("normal"));
    drop(fixture.place(&EndpointNeed { priority: Priority::Urgent, ..need("urgent") }));
    assert!(fixture.granted().is_empty());
    fixture.finish(&leases[0], AttemptOutcome::Completed);
    fixture.finish(&leases[1], AttemptOutcome::Completed);
    let granted = fixture.granted();
    assert_eq!(granted.len(), 1);
    assert_eq!(granted[0].0, normal);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once_with_a_retry_delay() {
    let mut fixture = Fixture::new(1);
    let leases: Vec<_> =
        (0..ENGINE_REQUESTS_MAX).map(|number| fixture.place(&need(&number.to_string()))).collect();
    fixture.advance(2_000);
    fixture.finish(&leases[0], AttemptOutcome::Completed);
    drop(fixture.place(&need("long")));
    let (mut delays, mut waiting) = (Vec::new(), 0);
    for number in 0..400 {
        let deadline = fixture.now + Duration::from_secs(4);
        match fixture.submit(&EndpointNeed { deadline, ..need(&format!("w{number}")) }) {
            Decision::Wait(_) => waiting += 1,
            Decision::Refuse(error) => {
                assert_eq!(error.kind(), ErrorKind::Overloaded);
                delays.push(error.retry_delay().unwrap());
            }
            Decision::Place(lease) => panic!("expected no placement, got {lease:?}"),
        }
    }
    assert!(waiting > 10 && !delays.is_empty(), "{waiting} waiting, {} refused", delays.len());
    assert!(delays.iter().all(|it| *it >= Duration::from_millis(100)));
}

#[test]
fn account_with_a_full_queue_does_not_block_another() {
    let mut fixture = Fixture::new(1);
    (0..ENGINE_REQUESTS_MAX).for_each(|number| drop(fixture.place(&need(&number.to_string()))));
    let full = SchedulerSettings::default().account_queue_max;
    let without_deadline =
        |content: &str| EndpointNeed { deadline: Timestamp(u64::MAX), ..need(content) };
    for number in 0..full {
        fixture.wait(&without_deadline(&format!("w{number}")));
    }
    assert_eq!(fixture.refusal(&without_deadline("x")).kind(), ErrorKind::QueueFull);
    fixture.wait(&EndpointNeed {
        account: AccountName::new("master").unwrap(),
        ..without_deadline("y")
    });
}

#[test]
fn waiting_request_is_refused_at_its_deadline_unless_cancelled() {
    let mut fixture = Fixture::new(1);
    (0..ENGINE_REQUESTS_MAX).for_each(|number| drop(fixture.place(&need(&number.to_string()))));
    let deadline = fixture.now + Duration::from_secs(1);
    let late = fixture.wait(&EndpointNeed { deadline, ..need("late") });
    let gone = fixture.wait(&need("gone"));
    fixture.scheduler.cancel(gone);
    assert!(fixture.scheduler.sweep(fixture.now).is_empty());
    fixture.advance(1_000);
    let swept = fixture.scheduler.sweep(fixture.now);
    assert_eq!(swept.len(), 1);
    assert_eq!(swept[0].waiter, late);
    assert_eq!(swept[0].result.as_ref().unwrap_err().kind(), ErrorKind::DeadlineBeforeRun);
    assert_eq!(fixture.scheduler.waiting(), 0);
}

#[test]
fn failing_endpoint_is_ejected_probed_and_started_slowly() {
    let mut fixture = Fixture::new(4);
    let only = |number: usize| EndpointNeed {
        avoid: (0..4).filter(|&it| it != number).map(engine).collect(),
        ..need("x")
    };
    for _ in 0..3 {
        let lease = fixture.place(&only(0));
        fixture.finish(&lease, AttemptOutcome::NotSent);
    }
    assert_eq!(fixture.state(0), EndpointState::Ejected);
    assert_eq!(fixture.refusal(&only(0)).kind(), ErrorKind::NoEndpoint);
    fixture.report(0, &ready_report());
    assert_eq!(
        fixture.state(0),
        EndpointState::Ejected,
        "a report during the ejection time does not end the ejection"
    );
    fixture.advance(1_000);
    fixture.report(0, &ready_report());
    assert_eq!(fixture.state(0), EndpointState::Serving);
    drop(fixture.place(&only(0)));
    fixture.wait(&only(0));
}

#[test]
fn at_most_half_of_a_pool_is_ejected() {
    let mut fixture = Fixture::new(4);
    for number in 0..4 {
        (0..5).for_each(|_| fixture.scheduler.on_report_failed(&engine(number), fixture.now));
    }
    let ejected = (0..4).filter(|&number| fixture.state(number) == EndpointState::Ejected).count();
    assert_eq!(ejected, 2);
    drop(fixture.place(&need("still served")));
}

#[test]
fn retry_goes_to_another_failure_domain() {
    let mut fixture = Fixture::new(6);
    for number in 0..20 {
        let content = format!("request {number}");
        let first = fixture.place(&need(&content));
        fixture.finish(&first, AttemptOutcome::NotSent);
        fixture.clear_all_suspicions();
        let retry = EndpointNeed { avoid: vec![first.endpoint.clone()], ..need(&content) };
        let second = fixture.place(&retry);
        assert_ne!(second.failure_domain, first.failure_domain);
        fixture.finish(&second, AttemptOutcome::Completed);
    }
}

impl Fixture {
    /// Completes one request on each endpoint, so that none is suspect.
    fn clear_all_suspicions(&mut self) {
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
    let mut fixture = Fixture::new(3);
    let poison = need("poison");
    let first = fixture.place(&poison);
    let bystander = EndpointNeed {
        avoid: (0..3).map(engine).filter(|it| *it != first.endpoint).collect(),
        ..need("bystander")
    };
    let bystander_lease = fixture.place(&bystander);
    assert_eq!(bystander_lease.endpoint, first.endpoint);
    fixture.finish(&first, AttemptOutcome::Lost);
    fixture.finish(&bystander_lease, AttemptOutcome::Lost);
    for content in ["poison", "bystander"] {
        let fingerprint = Digest::from_content(content.as_bytes());
        assert_eq!(fixture.scheduler.quarantine().verdict(&fingerprint), Verdict::Suspect);
    }

    // Each runs alone on a reserved endpoint, one after the other.
    let lost = vec![first.endpoint.clone()];
    let poison = EndpointNeed { avoid: lost.clone(), ..poison };
    let waiters =
        [fixture.wait(&poison), fixture.wait(&EndpointNeed { avoid: lost, ..need("bystander") })];
    let mut granted = fixture.granted();
    assert_eq!(granted.len(), 1);
    let (waiter, trial) = granted.remove(0);
    assert_eq!(waiter, waiters[0]);
    let elsewhere = fixture.place(&need("other"));
    assert_ne!(
        elsewhere.endpoint, trial.endpoint,
        "the trial's endpoint must get no other requests"
    );
    fixture.finish(&elsewhere, AttemptOutcome::Completed);
    fixture.finish(&trial, AttemptOutcome::Lost);
    let verdict = fixture.scheduler.quarantine().verdict(&poison.fingerprint);
    assert_eq!(verdict, Verdict::Quarantined);
    assert_eq!(fixture.refusal(&need("poison")).kind(), ErrorKind::Quarantined);

    let mut granted = fixture.granted();
    let (waiter, trial) = granted.remove(0);
    assert_eq!(waiter, waiters[1]);
    fixture.finish(&trial, AttemptOutcome::Completed);
    let fingerprint = Digest::from_content(b"bystander");
    assert_eq!(fixture.scheduler.quarantine().verdict(&fingerprint), Verdict::Clear);
}

#[test]
fn request_waits_for_a_load_or_takes_the_version_that_is_ready() {
    let mut fixture = Fixture::new(2);
    let loading = vec![loaded("v1", LoadState::Ready), loaded("v2", LoadState::Loading)];
    let report = LoadReport { models: loading, ..ready_report() };
    (0..2).for_each(|number| fixture.report(number, &report));
    let versions = |names: &[&str]| Target::Model {
        model: model(),
        versions: names.iter().map(|name| version(name)).collect(),
        adapter: None,
    };
    let either = EndpointNeed { target: versions(&["v2", "v1"]), ..need("either") };
    assert_eq!(fixture.place(&either).version, Some(version("v1")));
    let only = EndpointNeed { target: versions(&["v2"]), ..need("only") };
    let waiter = fixture.wait(&only);
    assert!(fixture.granted().is_empty());

    fixture.advance(3_000);
    let ready = vec![loaded("v1", LoadState::Ready), loaded("v2", LoadState::Ready)];
    fixture.report(0, &LoadReport { models: ready, ..ready_report() });
    let granted = fixture.granted();
    assert_eq!(granted[0].0, waiter);
    assert_eq!(granted[0].1.version, Some(version("v2")));
    assert_eq!(fixture.place(&either).version, Some(version("v2")));

    // The previous load took three seconds, so a request with an earlier deadline is
    // refused.
    let loading = vec![loaded("v3", LoadState::Loading)];
    fixture.report(1, &LoadReport { models: loading, ..ready_report() });
    let deadline = fixture.now + Duration::from_secs(1);
    let hasty = EndpointNeed { target: versions(&["v3"]), deadline, ..need("hasty") };
    let refusal = fixture.refusal(&hasty);
    assert_eq!(refusal.kind(), ErrorKind::ModelLoading);
    assert!(refusal.retry_delay().unwrap() >= Duration::from_millis(1_500));
    let patient = EndpointNeed { deadline: fixture.now + Duration::from_secs(10), ..hasty };
    fixture.wait(&patient);
}

#[test]
fn service_is_probed_by_one_request() {
    let mut fixture = Fixture::new(2);
    let router = RouterName::new("router-2").unwrap();
    let domain = FailureDomain::new(DOMAINS[0]).unwrap();
    fixture.scheduler = Scheduler::new(router, domain, SchedulerSettings::default());
    fixture.scheduler.apply_config(&config_with(2));
    let target = Target::Service(ServiceName::new("portal").unwrap());
    let only = EndpointNeed { target, avoid: vec![engine(1)], ..need("order") };
    for _ in 0..3 {
        let lease = fixture.place(&only);
        fixture.finish(&lease, AttemptOutcome::TimedOut);
    }
    assert_eq!(fixture.refusal(&only).kind(), ErrorKind::NoEndpoint);
    fixture.advance(1_000);
    let probe = fixture.place(&only);
    assert_eq!(fixture.refusal(&only).kind(), ErrorKind::NoEndpoint);
    fixture.finish(&probe, AttemptOutcome::Completed);
    drop(fixture.place(&only));
}
