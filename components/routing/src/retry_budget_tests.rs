//! Tests of `retry_budget`.

use types::Timestamp;

use super::*;

#[test]
fn retries_are_a_share_of_the_successes() {
    let now = Timestamp::ZERO;
    let mut budget = RetryBudget::new(now);
    let initial = (0..1_000).filter(|_| budget.try_take(now)).count();
    assert_eq!(initial, 10);
    (0..200).for_each(|_| budget.on_success());
    let earned = (0..1_000).filter(|_| budget.try_take(now)).count();
    assert!((19..=20).contains(&earned), "{earned}");
}

#[test]
fn time_refills_one_retry_per_second() {
    let mut budget = RetryBudget::new(Timestamp::ZERO);
    while budget.try_take(Timestamp::ZERO) {}
    assert!(budget.try_take(Timestamp::from_millis(1_000)));
    assert!(!budget.try_take(Timestamp::from_millis(1_000)));
}
