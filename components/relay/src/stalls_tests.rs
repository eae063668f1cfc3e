//! Tests of `stalls`.

use super::*;

/// Guards against a stop, or a suspension of the host, that goes unnoticed, and against checks that are a
/// little late on a busy host and count as one.
#[test]
fn stop_and_suspension_are_noticed() {
    let at = Timestamp::from_millis;
    let mut stalls = Stalls::default();
    for millis in [300, 600, 1_300] {
        stalls.check(at(millis), at(millis));
    }
    assert!(!stalls.has_stalled_since(at(0)));
    stalls.check(at(3_000), at(3_000));
    assert!(stalls.has_stalled_since(at(2_900)) && !stalls.has_stalled_since(at(3_001)));
    // The clock of the process stands still while the host is suspended.
    stalls.check(at(3_300), at(6_300));
    assert!(stalls.has_stalled_since(at(3_200)));
}
