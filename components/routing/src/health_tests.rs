//! Tests of `health`.

use super::*;

#[test]
fn ejection_doubles_and_a_success_ends_it() {
    let mut health = Health::default();
    let base = Duration::from_secs(1);
    health.on_failure(Timestamp::ZERO);
    health.eject(base, Timestamp::ZERO);
    assert!(!health.may_probe(Timestamp::from_millis(999)));
    assert!(health.may_probe(Timestamp::from_millis(1_000)));
    health.start_probe();
    assert!(!health.may_probe(Timestamp::from_millis(1_000)));
    health.on_failure(Timestamp::from_millis(1_000));
    health.eject(base, Timestamp::from_millis(1_000));
    assert!(!health.may_probe(Timestamp::from_millis(2_999)));
    assert!(health.may_probe(Timestamp::from_millis(3_000)));
    assert!(health.on_success());
    assert!(!health.is_ejected());
}

#[test]
fn suspicion_after_a_single_failure_expires() {
    let mut health = Health::default();
    health.on_failure(Timestamp::ZERO);
    assert!(health.is_suspect(Timestamp::from_millis(4_999)));
    assert!(!health.is_suspect(Timestamp::from_millis(5_000)));
    assert_eq!(health.failures(), 1);
}
