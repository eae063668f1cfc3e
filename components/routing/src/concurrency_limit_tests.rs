//! Tests of `concurrency_limit`.

use super::*;

const SLOW_START: Duration = Duration::from_secs(10);

#[test]
fn slow_first_tokens_shrink_the_limit_and_fast_ones_grow_it() {
    let mut limit = ConcurrencyLimit::default();
    limit.set_max_batch(16);
    let expected = Duration::from_millis(50);
    for step in 0..20 {
        let now = Timestamp::from_millis(1_000 * step);
        limit.on_first_token(Duration::from_secs(2), expected, now);
    }
    let now = Timestamp::from_millis(20_000);
    assert_eq!(limit.get(SLOW_START, now), 2);
    (0..200).for_each(|_| limit.on_first_token(expected, expected, now));
    assert_eq!(limit.get(SLOW_START, now), 20);
}

#[test]
fn returned_endpoint_starts_slowly() {
    let mut limit = ConcurrencyLimit::default();
    limit.begin_slow_start(Timestamp::ZERO);
    let limits = [0, 5_000, 10_000].map(|at| limit.get(SLOW_START, Timestamp::from_millis(at)));
    assert_eq!(limits, [1, 8, 16]);
}
