//! Exhaustive exploration of the intent row specification.

use specification::{
    explore,
    intent::{IntentSpec, Variant},
};

/// Maximum number of attempts of the request, over all routers.
const ATTEMPTS_MAX: u8 = 4;

/// Explores `variant` and returns the violated invariant, if any.
fn explore_variant(variant: Variant) -> Option<&'static str> {
    // Take-overs can start from many more states, so the number of attempts is lower; two after
    // the first are enough.
    let attempts_max = match variant {
        Variant::TakeOverWithFencingAndIds => 3,
        _ => ATTEMPTS_MAX,
    };
    let result = explore(&IntentSpec { variant, attempts_max });
    println!("intent row, {variant:?}: {} states", result.states);
    result.violation.map(|(message, _)| message)
}

#[test]
fn intent_row_holds_in_every_state() {
    assert_eq!(explore_variant(Variant::AsDesigned), None);
}

#[test]
fn missing_read_back_is_caught() {
    assert!(explore_variant(Variant::NoReadBack).is_some());
}

#[test]
fn take_over_is_safe_only_if_the_endpoint_rejects_ids_it_has_run() {
    let ran_twice = Some("the request ran twice");
    assert_eq!(explore_variant(Variant::TakeOverWithoutFencing), ran_twice);
    assert_eq!(explore_variant(Variant::TakeOverWithFencing), ran_twice);
    assert_eq!(explore_variant(Variant::TakeOverWithFencingAndIds), None);
}

#[test]
fn refusal_without_a_withdrawn_row_is_caught() {
    let ran_after_refusal = Some("a request that was refused as not run has run");
    assert_eq!(explore_variant(Variant::RefusalWithoutRow), ran_after_refusal);
    assert_eq!(explore_variant(Variant::WithdrawalDeletesRow), ran_after_refusal);
}

#[test]
fn resolution_while_the_holder_may_send_is_caught() {
    assert!(explore_variant(Variant::ResolutionWhileHolderRuns).is_some());
}
