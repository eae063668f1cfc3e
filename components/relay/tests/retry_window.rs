//! Tests that retries stay within this router's share of the limit in any window.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

use std::{sync::Arc, time::Duration};

use relay::limits::{RetryLimits, RetryWindow};
use types::Timestamp;

const LIMITS: RetryLimits =
    RetryLimits { ratio: 0.2, allowance: 56.0, window: Duration::from_secs(10) };

fn service() -> Arc<str> {
    "portal".into()
}

/// Takes retries until none is left and returns their number.
fn take_all_retries(window: &mut RetryWindow, routers: usize, now: Timestamp) -> usize {
    (0..1_000).take_while(|_| window.try_take_retry(&service(), routers, now)).count()
}

#[test]
fn routers_together_stay_within_the_allowance() {
    for routers in [1, 2, 7, 8, 40] {
        let now = Timestamp::from_millis(1_000);
        let taken: usize = (0..routers)
            .map(|_| take_all_retries(&mut RetryWindow::new(LIMITS), routers, now))
            .sum();
        assert!(taken <= 56, "{routers} routers took {taken}");
    }
}

#[test]
fn requests_add_their_share_of_retries() {
    let mut window = RetryWindow::new(LIMITS);
    let now = Timestamp::from_millis(1_000);
    let without = take_all_retries(&mut RetryWindow::new(LIMITS), 8, now);
    (0..500).for_each(|_| window.record_request(&service(), now));
    let taken = take_all_retries(&mut window, 8, now);
    assert!(taken > without + 50 && taken <= without + 100, "{taken}");
}

#[test]
fn retries_are_available_again_once_the_window_has_passed() {
    let mut window = RetryWindow::new(LIMITS);
    let first = take_all_retries(&mut window, 8, Timestamp::from_millis(0));
    assert_eq!(take_all_retries(&mut window, 8, Timestamp::from_millis(9_900)), 0);
    assert_eq!(take_all_retries(&mut window, 8, Timestamp::from_millis(10_100)), first);
}

#[test]
fn services_have_separate_limits() {
    let mut window = RetryWindow::new(LIMITS);
    let now = Timestamp::ZERO;
    take_all_retries(&mut window, 8, now);
    assert!(window.try_take_retry(&"model".into(), 8, now));
}
