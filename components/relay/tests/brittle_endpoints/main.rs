//! Simulates fleets in front of endpoints that state that they fall over if they have to refuse too
//! many requests, at loads below and above their capacity.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a test may panic, and its numbers are small"
)]

mod endpoint;
mod event;
mod fleet;
mod owners;
mod router;
mod runs;
mod setup;
mod statements;
mod statuses;

use std::time::Duration;

use rand::Rng as _;

use self::{
    fleet::Fleet,
    setup::{Counts, Setup},
};

/// Time after endpoints first state that they are brittle from which fewer requests may wait there
/// and falls count.
const NOTICE: Duration = Duration::from_secs(3);

/// Small and large endpoints, behind fleets of different sizes.
fn setups() -> Vec<Setup> {
    let small = Setup {
        routers: 0,
        endpoints: 4,
        capacity: 6,
        work: Duration::from_millis(50),
        wait: Duration::from_millis(20),
        refusals_max: None,
        is_stated: true,
    };
    let large = Setup {
        endpoints: 6,
        capacity: 96,
        work: Duration::from_secs(1),
        wait: Duration::from_millis(75),
        ..small
    };
    let sizes = [3, 8, 20, 80].into_iter().enumerate();
    let setups = sizes.flat_map(|(index, routers)| {
        let refusals_max = Some(1 + index as u32);
        [small, large].map(|it| Setup { routers, refusals_max, ..it })
    });
    setups.collect()
}

/// Returns the number of falls that are allowed while endpoints state that they are brittle.
fn falls_max(setup: &Setup) -> usize {
    2 + setup.endpoints / 10
}

/// Lets the endpoints begin to state that they are brittle and, after the notice, hold no request
/// that they do not run.
fn begin_brittle_time(fleet: &mut Fleet) {
    fleet.run(0.4, NOTICE);
    fleet.endpoints.iter_mut().for_each(|it| it.waiting_max = 0);
}

/// Runs a jump of the load to three times the capacity, a calm, and another jump; returns what
/// happened to the requests in the jumps, and all falls.
fn run_jumps(fleet: &mut Fleet) -> Counts {
    let first = fleet.run(3.0, Duration::from_secs(4));
    let calm = fleet.run(0.4, Duration::from_secs(2));
    let second = fleet.run(1.5, Duration::from_secs(3));
    Counts {
        sent: first.sent + second.sent,
        served: first.served + second.served,
        failed: first.failed + second.failed,
        refusals: first.refusals + second.refusals,
        falls: first.falls + second.falls + calm.falls,
    }
}

/// Guards against routers that send more to brittle endpoints than these have room for when the
/// load jumps, and against room that they do not use.
#[test]
fn brittle_endpoints_survive_jumps_of_the_load() {
    for setup in setups() {
        let mut fleet = Fleet::new(setup.routers as u64, setup);
        begin_brittle_time(&mut fleet);
        let jumps = run_jumps(&mut fleet);
        let used = jumps.served as f64 / (setup.capacity_per_s() * 7.0);
        assert!(jumps.falls <= falls_max(&setup), "{setup:?}: {jumps:?}");
        assert!(used > 0.75, "{setup:?}: {used:.2} of the capacity used");
    }
}

/// Guards against a simulation in which endpoints cannot fall over.
#[test]
fn endpoints_fall_over_if_they_do_not_state_that_they_are_brittle() {
    for setup in setups() {
        let setup = Setup { is_stated: false, ..setup };
        let mut fleet = Fleet::new(setup.routers as u64, setup);
        begin_brittle_time(&mut fleet);
        let jumps = run_jumps(&mut fleet);
        assert!(jumps.falls > falls_max(&setup), "{setup:?}: {jumps:?}");
    }
}

/// Guards against callers that are refused at a calm load because endpoints are brittle.
#[test]
fn callers_are_served_at_a_calm_load_although_endpoints_are_brittle() {
    for setup in setups() {
        let mut fleet = Fleet::new(setup.routers as u64, setup);
        begin_brittle_time(&mut fleet);
        let calm = fleet.run(0.66, Duration::from_secs(4));
        assert_eq!(calm.falls, 0, "{setup:?}: {calm:?}");
        let failed = calm.failed as f64 / calm.sent as f64;
        assert!(failed < 0.01, "{setup:?}: {calm:?}");
    }
}

/// Guards against requests that are admitted twice when the router that admits them changes.
#[test]
fn brittle_endpoints_survive_restarts_and_cuts_of_routers() {
    for seed in 0..24 {
        let routers = [3, 8, 20][seed as usize % 3];
        let setup = *setups().iter().find(|it| it.routers == routers).unwrap();
        let setup = Setup { refusals_max: Some(1 + seed as u32 % 5), ..setup };
        let mut fleet = Fleet::new(seed, setup);
        begin_brittle_time(&mut fleet);
        let mut falls = 0;
        for _ in 0..6 {
            let router = fleet.rng.random_range(0..routers);
            let load = fleet.rng.random_range(0.3..2.0);
            let pause = Duration::from_millis(fleet.rng.random_range(300..3_000));
            if fleet.rng.random_bool(0.5) {
                fleet.stop(router);
                falls += fleet.run(load, pause).falls;
                fleet.start(router);
            } else {
                let cut_off = fleet.rng.random_range(1..=1 + routers / 4);
                (0..cut_off).for_each(|it| fleet.routers[(router + it) % routers].part = 1);
                falls += fleet.run(load, pause).falls;
                fleet.routers.iter_mut().for_each(|it| it.part = 0);
            }
            let pause = Duration::from_millis(fleet.rng.random_range(100..2_000));
            falls += fleet.run(load, pause).falls;
        }
        assert!(falls <= falls_max(&setup), "seed {seed}, {setup:?}: {falls} falls");
    }
}
