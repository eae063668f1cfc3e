//! Exhaustive exploration of the intent row.

use specification::{
    explore,
    intent::{IntentSpec, Variant},
};

/// Most attempts of the request, over all routers.
const ATTEMPTS_MAX: u8 = 4;

/// Explores a variant; returns what it violates.
fn explore_variant(variant: Variant) -> Option<&'static str> {
    // A take-over starts from many more states; two attempts after it are enough.
    let attempts_max = match variant {
        Variant::TakeOverWithFencingAndIds => 3,
        _ => ATTEMPTS_MAX,
    };
    let result = explore(&IntentSpec { variant, attempts_max });
    println!("intent row, {variant:?}: {} states", result.states);
    result.violation.map(|(text, _)| text)
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
fn take_over_is_safe_only_where_the_endpoint_knows_the_ids_it_has_run() {
    let twice = Some("the request ran twice");
    assert_eq!(explore_variant(Variant::TakeOverWithoutFencing), twice);
    assert_eq!(explore_variant(Variant::TakeOverWithFencing), twice);
    assert_eq!(explore_variant(Variant::TakeOverWithFencingAndIds), None);
}

#[test]
fn refusal_without_a_withdrawn_row_is_caught() {
    let lie = Some("a request that was refused as not run has run");
    assert_eq!(explore_variant(Variant::RefusalWithoutRow), lie);
    assert_eq!(explore_variant(Variant::WithdrawalDeletesRow), lie);
}

#[test]
fn resolution_while_the_holder_may_send_is_caught() {
    assert!(explore_variant(Variant::ResolutionWhileHolderRuns).is_some());
}
