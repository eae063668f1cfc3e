//! Simulates a fleet whose routers share the rate limit that an endpoint states, while routers
//! restart and are cut off from each other.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a test may panic, and its numbers are small"
)]

mod fleet;
mod router;

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::Rng as _;
use relay::{
    endpoints::{
        BrittleStatement, Choice, EndpointChange, EndpointRegistry, PlacementRequest,
        RateStatement, Statements,
    },
    model::{EndpointEntry, PromptPart, TokenDemand},
};
use types::Timestamp;
use utils::seeded_rng;

use self::{
    fleet::{Fleet, WINDOW},
    router::{LIMITED, entry, place, record_rate},
};

/// Time after an endpoint first states its limit from which it is binding.
const NOTICE: Duration = Duration::from_secs(3);

/// Requests that an endpoint may get in a [`WINDOW`] in addition to one and a half times the stated
/// number.
const SLACK: f64 = 5.0;

/// Returns the number of requests that an endpoint may get in a [`WINDOW`].
fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW.as_secs_f64() + SLACK
}

/// Guards against limits that are exceeded because several routers use the same share, and against
/// limits that are not used because no router has a share.
#[test]
fn calm_fleets_use_a_stated_limit_and_keep_to_it() {
    let cases = [(1, 1.0), (3, 2.5), (8, 0.4), (8, 1.0), (8, 8.0), (40, 1.0), (40, 12.5)];
    for (routers, per_s) in cases {
        let mut fleet = Fleet::new(routers as u64, routers);
        fleet.run(Duration::from_secs(3));
        fleet.limit_per_s = Some(per_s);
        fleet.run(NOTICE);
        let from = fleet.now;
        fleet.run(Duration::from_secs(20));
        let most = fleet.most_arrivals(from);
        let case = format!("{routers} routers, {per_s} per second");
        assert!(most as f64 <= allowed(per_s), "{case}: {most} in {WINDOW:?}");
        let used = fleet.arrivals_since(from) as f64 / (per_s * 20.0);
        assert!((0.7..=1.1).contains(&used), "{case}: {used:.2} of the limit used");
    }
}

/// Guards against shares that are taken over while their former router still uses them.
#[test]
fn limits_hold_while_routers_restart_and_are_cut_off() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed, 8);
        let per_s = [1.0, 2.0, 6.0][seed as usize % 3];
        fleet.run(Duration::from_secs(2));
        fleet.limit_per_s = Some(per_s);
        fleet.run(NOTICE);
        let from = fleet.now;
        for _ in 0..10 {
            let router = fleet.rng.random_range(0..8);
            let pause = Duration::from_millis(fleet.rng.random_range(300..3_000));
            if fleet.rng.random_bool(0.5) {
                fleet.stop(router);
                fleet.run(pause);
                fleet.start(router);
            } else {
                let cut_off = fleet.rng.random_range(1..=3);
                (0..cut_off).for_each(|it| fleet.routers[(router + it) % 8].part = 1);
                fleet.run(pause);
                fleet.routers.iter_mut().for_each(|it| it.part = 0);
            }
            let pause = Duration::from_millis(fleet.rng.random_range(100..2_000));
            fleet.run(pause);
        }
        let most = fleet.most_arrivals(from);
        assert!(most as f64 <= allowed(per_s), "seed {seed}, {per_s} per second: {most}");
        assert!(fleet.arrivals_since(from) > 0, "seed {seed}: the limit is not used");
    }
}

/// Guards against a limit that outlasts its statement on routers without a share of it, which get
/// no answer from the endpoint.
#[test]
fn end_of_a_limit_reaches_all_routers() {
    let mut fleet = Fleet::new(7, 40);
    fleet.run(Duration::from_secs(2));
    fleet.limit_per_s = Some(1.0);
    fleet.run(Duration::from_secs(6));
    fleet.limit_per_s = None;
    fleet.run(Duration::from_secs(6));
    let limited = fleet.routers.iter().filter(|it| it.registry.rate_limit_count() > 0).count();
    assert_eq!(limited, 0, "routers that still keep to the limit");
}

/// Guards against a limit that is kept for the next process of an endpoint.
#[test]
fn restarted_endpoint_has_no_limit() {
    let mut registry = EndpointRegistry::default();
    let now = Timestamp::from_millis(1_000);
    registry.apply_change(EndpointChange::Written(entry(LIMITED)), now);
    record_rate(&mut registry, LIMITED, RateStatement::PerSecond(1.0), Timestamp::ZERO, now);
    let reports = registry.reports(now);
    let restarted = EndpointEntry { started_at_ms: 2, ..entry(LIMITED) };
    registry.apply_change(EndpointChange::Written(restarted), now);
    assert_eq!(registry.rate_limit_count(), 0);
    // A router that has not seen the restart still reports the limit.
    let later = Timestamp::from_millis(1_500);
    assert!(!registry.apply_report(&reports[0], later));
    assert_eq!(registry.rate_limit_count(), 0);
}

/// Guards against a huge value that is taken for a limit or a pause.
#[test]
fn huge_statements_are_ignored() {
    let mut registry = EndpointRegistry::default();
    let now = Timestamp::from_millis(1_000);
    registry.apply_change(EndpointChange::Written(entry(LIMITED)), now);
    let statements = Statements {
        rate: RateStatement::PerSecond(1e300),
        is_leaving: false,
        pause: Some(Duration::from_secs(u64::MAX / 2)),
        brittleness: BrittleStatement::Unknown,
        has_malformed: false,
    };
    assert!(!registry.record_statements(LIMITED, &statements, Timestamp::ZERO, now));
    assert_eq!(registry.rate_limit_count(), 0);
    let choice = place(&mut registry, now, &mut seeded_rng(1));
    assert!(matches!(choice, Choice::Placed(_)), "{choice:?}");
}

/// Guards against an answer that was under way before the limit was stated and ends it.
#[test]
fn overtaken_answer_does_not_end_a_limit() {
    let mut registry = EndpointRegistry::default();
    let at = Timestamp::from_millis;
    registry.apply_change(EndpointChange::Written(entry(LIMITED)), at(0));
    record_rate(&mut registry, LIMITED, RateStatement::PerSecond(1.0), at(100), at(150));
    assert!(!record_rate(&mut registry, LIMITED, RateStatement::Unlimited, at(120), at(160)));
    assert_eq!(registry.rate_limit_count(), 1);
    assert!(record_rate(&mut registry, LIMITED, RateStatement::Unlimited, at(170), at(200)));
    assert_eq!(registry.rate_limit_count(), 0);
}

/// Guards against prompts that are processed again on ever other endpoints because those that
/// cache their shared part state rate limits.
#[test]
fn prompts_whose_cache_owners_are_limited_go_to_one_other_endpoint() {
    let (mut registry, mut rng) = (EndpointRegistry::default(), seeded_rng(5));
    let ids: Vec<String> = (0..6).map(|it| format!("engine-{it}")).collect();
    for id in &ids {
        registry.apply_change(EndpointChange::Written(entry(id)), Timestamp::ZERO);
    }
    let mut place = |registry: &mut EndpointRegistry, at: u64| {
        let service: Arc<str> = "portal".into();
        let parts =
            [PromptPart { id: 7, tokens: 6_000 }, PromptPart { id: 1_000 + at, tokens: 100 }];
        let request = PlacementRequest {
            service: &service,
            spec: None,
            tokens: Some(TokenDemand { prompt: 6_100, max_output: 50 }),
            parts: &parts,
            failed_endpoints: &[],
            failure_domain: "zlin",
            routers: 1,
            begins_stream: false,
            version: None,
            is_stream: false,
            suspect: None,
            fill_share: 1.0,
        };
        let choice = registry.place(&request, Timestamp::from_millis(at), &mut rng);
        let Choice::Placed(placement) = choice else { panic!("{choice:?}") };
        registry.remove_request_load(&placement.endpoint, placement.load);
        placement.endpoint
    };
    for limited in 0..4 {
        let at = 1_000 * (limited + 1);
        let used: BTreeSet<Arc<str>> =
            (0..20).map(|it| place(&mut registry, at + it * 10)).collect();
        assert_eq!(used.len(), 1, "{limited} limited endpoints: {used:?}");
        // This router has no share of the limit.
        let (owner, now) = (used.first().unwrap(), Timestamp::from_millis(at + 500));
        record_rate(&mut registry, owner, RateStatement::PerSecond(1.0), now, now);
    }
}
