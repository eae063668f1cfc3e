//! Prepaid tokens under random faults: lost and late commits, lost loans, crashes, restarts and
//! power losses at any time, and an operator who lowers the limit.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

mod eras;
mod loans;
mod router;
mod store;
mod witnesses;
mod world;

use std::time::Duration;

use relay::allowance::AllowanceRow;

use self::{
    router::ConfiguredAccount,
    world::{Faults, World},
};

const ACCOUNT: &str = "school";
const LIMIT: u64 = 400_000;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u64 = 1_200;
const ROUTERS: usize = 4;

const NO_FAULTS: Faults = Faults {
    outages: false,
    crash: 0.0,
    lost_answer: 0.0,
    power_loss: 0.0,
    lost_loan: 0.0,
    differing_holders: 0.0,
    shutdown: 0.0,
    limit_change: 0.0,
    old_copy: 0.0,
    no_call: 0.5,
    clock_drift: false,
};

/// Returns the seeds of a test: `count` of them, or as many as the environment variable `SEEDS` says.
fn seeds(count: u64) -> std::ops::Range<u64> {
    let wanted = std::env::var("SEEDS").ok().and_then(|it| it.parse().ok());
    0..wanted.unwrap_or(count)
}

#[test]
fn tokens_are_never_spent_twice_under_faults() {
    let mut taken_over = 0;
    for seed in seeds(60) {
        let faults = Faults {
            outages: seed % 2 == 0,
            crash: 0.004,
            lost_answer: 0.2,
            power_loss: 0.002,
            lost_loan: 0.1,
            clock_drift: seed % 4 < 2,
            differing_holders: if seed % 3 == 0 { 0.0 } else { 0.02 },
            ..NO_FAULTS
        };
        let mut world = World::new(seed, faults);
        world.run();
        taken_over += world.store.taken_over;
    }
    assert!(taken_over > 0, "no process took over any tokens");
}

/// Guards against tokens that count twice: a commit of an ended process returned them late, and the
/// next process took them over by the row that this commit had replaced.
#[test]
fn tokens_returned_by_a_late_commit_are_not_taken_over() {
    let mut taken_over = 0;
    for seed in seeds(60) {
        let faults = Faults {
            lost_answer: 0.8,
            shutdown: 0.01,
            no_call: 0.4,
            clock_drift: seed % 2 == 0,
            ..NO_FAULTS
        };
        let mut world = World::new(seed, faults);
        world.run();
        taken_over += world.store.taken_over;
    }
    assert!(taken_over > 0, "no process took over any tokens");
}

/// Guards against tokens that are drawn a second time after the store has come back from an older copy,
/// in which some draws and ceilings are missing.
#[test]
fn tokens_are_not_drawn_twice_after_the_store_returned_to_an_older_copy() {
    for seed in seeds(80) {
        let faults = Faults {
            outages: seed % 4 == 0,
            crash: if seed % 2 == 0 { 0.002 } else { 0.0 },
            power_loss: if seed % 5 == 0 { 0.001 } else { 0.0 },
            lost_answer: 0.1,
            lost_loan: 0.05,
            shutdown: if seed % 3 == 0 { 0.002 } else { 0.0 },
            old_copy: 0.004,
            no_call: 0.2,
            clock_drift: seed % 2 == 0,
            ..NO_FAULTS
        };
        World::new(seed, faults).run();
    }
}

#[test]
fn tokens_stay_usable_after_the_store_returned_to_an_older_copy() {
    for seed in 0..10 {
        // The store states its era; it comes back when this test says so.
        let mut world = World::new(seed, Faults { old_copy: f64::MIN_POSITIVE, ..NO_FAULTS });
        world.run_until(STEPS / 3);
        world.store.return_to_copy(100);
        world.run_until(STEPS / 2);
        world.crash(0);
        world.store.return_to_copy(60);
        world.run_until(STEPS + STEPS / 2);
        assert!(world.spent * 100 >= LIMIT * 90, "seed {seed}: {} of {LIMIT}", world.spent);
    }
}

#[test]
fn draws_that_no_process_knows_count_as_spent_until_a_top_up() {
    for seed in 0..10 {
        let mut world = World::new(seed, Faults { old_copy: f64::MIN_POSITIVE, ..NO_FAULTS });
        world.run_until(STEPS / 3);
        (0..ROUTERS).for_each(|index| world.crash(index));
        world.store.return_to_copy(100);
        let before = world.spent;
        world.run_until(STEPS);
        assert_eq!(world.spent, before, "seed {seed}");
        world.set_limit(2 * LIMIT);
        world.run_until(3 * STEPS);
        assert!(world.spent > before + LIMIT * 9 / 10, "seed {seed}: {} spent", world.spent);
        assert!(world.spent <= before + LIMIT, "seed {seed}: {} spent", world.spent);
    }
}

/// Guards against accounts without tokens after a power loss of all routers: each one lost all that its
/// ceiling allowed for 2.8 s, and everything that it held if the restart took long.
#[test]
fn power_loss_of_all_routers_loses_what_could_be_spent_until_the_restart() {
    for down in [12, 30, 60] {
        let (mut lost, mut spent_per_s) = (0, 0);
        for seed in 0..30 {
            let mut world = World::new(seed, NO_FAULTS);
            world.run_until(200);
            spent_per_s += world.spent / 10;
            let before = world.lost();
            (0..ROUTERS).for_each(|index| world.crash_for(index, down));
            world.run_until(200 + down + 100);
            lost += world.lost() - before;
        }
        let lost = Duration::from_millis(lost * 1_000 / spent_per_s);
        // A declaration is up to 0.6 s old when a process ends and its successor reads it, and allows at
        // most 2 s of spending at once, 1.2 s for each second up to 3.2 s and a quarter of 11 s for each
        // further one, and what running requests reserve.
        let age = STEP * u32::try_from(down).unwrap() + Duration::from_millis(600);
        let late = age.saturating_sub(Duration::from_millis(3_200));
        let growth = (age - late).mul_f64(1.2) + late.mul_f64(2.75);
        let allowed = Duration::from_millis(2_000 + 400) + growth;
        println!("down for {down} steps: {lost:?} of spending lost, {allowed:?} allowed");
        assert!(lost <= allowed, "down for {down} steps: {lost:?} of spending lost");
    }
}

#[test]
fn run_without_faults_spends_nearly_all_tokens() {
    for seed in 0..5 {
        let mut world = World::new(seed, NO_FAULTS);
        world.run();
        assert!(world.spent * 100 >= LIMIT * 97, "seed {seed}: {} of {LIMIT}", world.spent);
    }
}

#[test]
fn lowered_limit_stops_spending_beyond_it() {
    for seed in 0..10 {
        let mut world = World::new(seed, NO_FAULTS);
        while world.spent < LIMIT / 4 {
            world.step += 1;
            (0..ROUTERS).for_each(|index| world.step_router(index));
        }
        let lowered = world.spent + LIMIT / 8;
        world.account = ConfiguredAccount { limit: lowered, version: 2 };
        let by_key = world.account.by_key();
        for router in &mut world.routers {
            router.allowances.set_accounts(&by_key, 2);
        }
        let running: u64 =
            world.routers.iter().flat_map(|it| &it.running).map(|(it, _)| it.tokens).sum();
        while world.step < STEPS {
            world.step += 1;
            (0..ROUTERS).for_each(|index| world.step_router(index));
            assert!(world.spent <= lowered.max(world.spent.min(lowered + running)));
        }
        let row = world.store.rows_of("allowance").first().expect("the row exists").clone();
        let row: AllowanceRow = row.decode().expect("the row can be decoded");
        assert!(row.drawn <= lowered + running, "{row:?}");
    }
}
