//! Tests of `limits`.

use super::*;

#[test]
fn limiter_allows_its_rate_and_no_more() {
    let mut limiter = RateLimiter::new(10);
    let allowed = |limiter: &mut RateLimiter, millis| {
        (0..100).filter(|_| limiter.try_acquire(Timestamp::from_millis(millis))).count()
    };
    assert_eq!(allowed(&mut limiter, 0), 10);
    assert_eq!(allowed(&mut limiter, 500), 5);
    assert_eq!(allowed(&mut limiter, 60_000), 10);
}
