//! Tests of `poller`.

use super::*;

#[test]
fn polls_of_a_large_fleet_stay_within_the_tables_rate() {
    assert_eq!(poll_interval(8), Duration::from_millis(500));
    assert_eq!(poll_interval(1_700), Duration::from_secs(17));
}
