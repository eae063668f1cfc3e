//! Tests of `promises`.

use types::Incarnation;

use super::*;

#[test]
fn router_runs_alone_only_after_its_promise_has_expired() {
    let home = RouterName::new("home").unwrap();
    let other = RouterId::new(RouterName::new("other").unwrap(), Incarnation(1));
    let (mut at_home, mut at_other) = (Promises::default(), Promises::default());
    let asked = Timestamp::from_millis(10_000);
    assert!(!at_home.are_all_valid(std::slice::from_ref(&other), asked));
    assert!(at_other.try_give(&home, asked));
    at_home.on_promise(&other, asked);
    assert!(at_home.are_all_valid(std::slice::from_ref(&other), asked));
    let alone = at_other.refuse(&home, asked + PROMISE_DURATION / 2);
    assert!(!at_other.try_give(&home, alone));
    assert!(!at_home.are_all_valid(&[other], alone));
}
