//! Contenders for one lease under pauses, lost answers and table outages.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use leases::{LeaseContender, LeaseRow, LeaseSettings};
use platform::{CommitOutcome, Revision, Table};
use rand::Rng as _;
use standins::{CallLimits, MemoryTable, TableFaults};
use types::{FencingNumber, Incarnation, RouterId, RouterName, Timestamp};

const SECOND: Duration = Duration::from_secs(1);

fn router(number: u64) -> RouterId {
    RouterId::new(RouterName::new(&format!("router-{number}")).unwrap(), Incarnation(number))
}

fn contender(number: u64) -> LeaseContender {
    LeaseContender::new("controller", router(number), LeaseSettings::default())
}

async fn read(table: &MemoryTable, contender: &LeaseContender) -> Option<(LeaseRow, Revision)> {
    let row = table.read(&[contender.key().clone()]).await.ok()?.remove(0)?;
    Some((row.decode().unwrap(), row.revision))
}

/// Reads the row and performs the commit that the contender returns.
async fn step(table: &MemoryTable, contender: &mut LeaseContender, now: Timestamp) {
    let Ok(mut rows) = table.read(&[contender.key().clone()]).await else { return };
    let row = rows.remove(0).map(|row| (row.decode().unwrap(), row.revision));
    if let Some(commit) = contender.on_read(now, row) {
        let outcome = table.commit(&commit).await;
        contender.on_outcome(&outcome);
    }
}

#[tokio::test(start_paused = true)]
async fn paused_holder_that_resumes_no_longer_holds_the_lease() {
    let table = MemoryTable::new(CallLimits::new(10_000, 10_000), 1);
    let (mut first, mut second) = (contender(1), contender(2));
    let mut now = Timestamp::ZERO;
    step(&table, &mut first, now).await;
    assert_eq!(first.held(now), Some(FencingNumber(1)));
    for _ in 0..14 {
        now = now + SECOND;
        step(&table, &mut second, now).await;
    }
    assert_eq!(second.held(now), Some(FencingNumber(2)));
    // The resumed process asks before it acts, and needs no read to know that the lease is lost.
    assert_eq!(first.held(now), None);
    step(&table, &mut first, now).await;
    assert_eq!(first.held(now), None);
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_acquired_immediately_with_a_higher_fencing_number() {
    let table = MemoryTable::new(CallLimits::new(10_000, 10_000), 1);
    let (mut first, mut second) = (contender(1), contender(2));
    let now = Timestamp::ZERO;
    step(&table, &mut first, now).await;
    let commit = first.release(read(&table, &first).await).unwrap();
    assert!(matches!(table.commit(&commit).await, CommitOutcome::Committed(_)));
    assert_eq!(first.held(now), None);
    step(&table, &mut second, now).await;
    assert_eq!(second.held(now), Some(FencingNumber(2)));
}

#[tokio::test(start_paused = true)]
async fn renewal_whose_answer_is_lost_counts_from_when_it_was_sent() {
    let table = MemoryTable::new(CallLimits::new(10_000, 10_000), 1);
    let mut first = contender(1);
    table.set_faults(TableFaults { lost_answers: 1.0, ..TableFaults::default() });
    step(&table, &mut first, Timestamp::ZERO).await;
    assert_eq!(first.held(Timestamp::ZERO), None);
    let row = read(&table, &first).await;
    first.on_read(Timestamp::from_millis(9_000), row);
    assert_eq!(first.held(Timestamp::from_millis(9_999)), Some(FencingNumber(1)));
    assert_eq!(first.held(Timestamp::from_millis(10_000)), None);
}

#[tokio::test(start_paused = true)]
async fn never_two_holders_at_a_time_and_never_a_fencing_number_twice() {
    for seed in 0..200 {
        let mut rng = utils::seeded_rng(seed);
        let table = MemoryTable::new(CallLimits::new(100_000, 100_000), seed);
        // The clocks of the contenders run at the same rate but have different offsets.
        let mut contenders: Vec<_> = (0..4)
            .map(|number| (contender(number), rng.random_range(0..1_000_000), 0_u64))
            .collect();
        let mut last_holder = None;
        let mut highest = FencingNumber(0);
        for second in 0..400_u64 {
            let faults = TableFaults {
                lost_answers: 0.2,
                down: rng.random_bool(0.05),
                ..TableFaults::default()
            };
            table.set_faults(faults);
            let mut holders = Vec::new();
            for (contender, offset, paused_until) in &mut contenders {
                let now = Timestamp::from_millis(*offset + second * 1_000);
                if second >= *paused_until {
                    step(&table, contender, now).await;
                    if rng.random_bool(0.02) {
                        *paused_until = second + rng.random_range(5..40);
                    }
                }
                holders.extend(contender.held(now));
            }
            assert!(holders.len() <= 1, "seed {seed}, second {second}: {holders:?}");
            if let Some(&fencing) = holders.first() {
                assert!(fencing >= highest, "seed {seed}, second {second}");
                highest = fencing;
                last_holder = Some(second);
            }
        }
        let idle = 400 - last_holder.unwrap();
        assert!(idle < 60, "seed {seed}: nobody held the lease for {idle} s");
    }
}
