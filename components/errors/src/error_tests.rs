//! Tests of `error`.

use super::*;

#[test]
fn context_precedes_the_message() {
    let error = Error::new(ErrorKind::NoEndpoint, "connection refused")
        .with_context("calling engine-1")
        .with_context("request a/1");
    assert_eq!(error.to_string(), "request a/1: calling engine-1: connection refused");
    assert_eq!(error.kind(), ErrorKind::NoEndpoint);
}

#[test]
fn refusal_after_an_earlier_attempt_does_not_say_not_run() {
    let refusal = Error::new(ErrorKind::BudgetExhausted, "the budget is spent");
    assert_eq!(refusal.answer().error.ran, Ran::Never);
    assert_eq!(refusal.after_earlier_attempt().answer().error.ran, Ran::Unknown);
    let lost = Error::new(ErrorKind::EndpointRejected, "rejected");
    assert_eq!(lost.after_earlier_attempt().ran(), Ran::NoFurther);
}
