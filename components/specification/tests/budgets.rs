//! Exhaustive exploration of the budget specification.

use specification::{
    budgets::{BudgetSpec, Limits, Variant},
    explore,
};

/// Explores `variant` and returns the violated invariant, if any.
fn explore_variant(variant: Variant, limits: Limits) -> Option<&'static str> {
    let result = explore(&BudgetSpec { variant, limits });
    println!("budgets, {variant:?}, {limits:?}: {} states", result.states);
    if let Some((message, state)) = &result.violation {
        println!("{message}: {state:?}");
    }
    result.violation.map(|(message, _)| message)
}

#[test]
fn budgets_hold_in_every_state() {
    let limits = Limits { deposit: 2, top_up: 0, serving_routers: 2, requests_per_router: 1 };
    assert_eq!(explore_variant(Variant::AsDesigned, limits), None);
}

#[test]
fn budgets_hold_in_every_state_with_a_top_up() {
    let limits = Limits { deposit: 1, top_up: 1, serving_routers: 2, requests_per_router: 1 };
    assert_eq!(explore_variant(Variant::AsDesigned, limits), None);
}

#[test]
fn every_broken_protocol_is_caught() {
    let broken = [
        Variant::NoWitnessClose,
        Variant::NoReadBack,
        Variant::LoanWithoutId,
        Variant::LoanBeforeDebit,
        Variant::SpendWithoutCeiling,
        Variant::CeilingRaisedDuringChange,
        Variant::NewWitnessWithoutCeiling,
    ];
    let limits = Limits { deposit: 1, top_up: 0, serving_routers: 2, requests_per_router: 2 };
    for variant in broken {
        assert!(explore_variant(variant, limits).is_some(), "{variant:?}");
    }
}
