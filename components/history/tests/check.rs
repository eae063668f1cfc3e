//! Checks that a correct history has no violations and that each kind of violation is found.

#![allow(clippy::unwrap_used)]

use errors::Ran;
use history::{CallId, Event, History, check};
use types::{AccountName, RequestId, RequestKey, Tokens};

fn account() -> AccountName {
    AccountName::new("school").unwrap()
}

fn key(id: &str) -> RequestKey {
    RequestKey::new(account(), RequestId::new(id).unwrap())
}

fn deposit(tokens: u64) -> Event {
    Event::Deposit { account: account(), tokens: Tokens(tokens) }
}

fn call(call: u64, id: &str) -> Event {
    Event::Call { call: CallId(call), request: key(id), is_idempotent: !id.starts_with("order") }
}

fn run(id: &str, answer: &str) -> Event {
    Event::Run { request: key(id), answer: answer.to_owned() }
}

fn bill(id: &str, tokens: u64) -> Event {
    Event::Bill { request: key(id), tokens: Tokens(tokens) }
}

fn answer(call: u64, answer: &str) -> Event {
    Event::Answer { call: CallId(call), answer: answer.to_owned() }
}

fn refusal(call: u64, ran: Ran) -> Event {
    Event::Refusal { call: CallId(call), ran }
}

fn violations(events: &[Event]) -> Vec<String> {
    let history = History { events: events.to_vec() };
    check(&history).iter().map(ToString::to_string).collect()
}

#[test]
fn correct_history_has_no_violations() {
    let events = [
        deposit(30),
        call(1, "order-1"),
        call(2, "order-1"),
        run("order-1", "one"),
        bill("order-1", 10),
        refusal(1, Ran::Unknown),
        answer(2, "one"),
        call(3, "order-2"),
        refusal(3, Ran::Never),
        call(4, "order-2"),
        run("order-2", "two"),
        bill("order-2", 10),
        answer(4, "two"),
        call(5, "plan"),
        run("plan", "first"),
        run("plan", "second"),
        bill("plan", 10),
        answer(5, "second"),
    ];
    assert_eq!(violations(&events), Vec::<String>::new());
}

#[test]
fn each_violation_is_found() {
    let invalid_histories = [
        vec![deposit(5), call(1, "plan"), run("plan", "a"), bill("plan", 6)],
        vec![deposit(9), call(1, "plan"), run("plan", "a"), bill("plan", 3), bill("plan", 3)],
        vec![deposit(9), call(1, "plan"), run("plan", "a"), answer(1, "a")],
        vec![deposit(9), call(1, "plan"), bill("plan", 3)],
        vec![call(1, "order"), run("order", "a"), run("order", "b")],
        vec![call(1, "p"), call(2, "q"), run("p", "a"), run("q", "b"), answer(1, "b")],
        vec![call(1, "p"), run("p", "whole"), answer(1, "who")],
        vec![call(1, "p"), run("p", "a"), refusal(1, Ran::Never)],
        vec![call(1, "p"), call(2, "p"), refusal(2, Ran::Never), run("p", "a")],
        vec![answer(7, "a")],
    ];
    let found: Vec<_> =
        invalid_histories.iter().map(|events| violations(events).join("; ")).collect();
    insta::assert_snapshot!(found.join("\n"), @r"
    account school was billed 6 of 5 deposited tokens
    request school/plan was billed more than once
    request school/plan was answered and not billed
    request school/plan was billed and did not run
    non-idempotent request school/order ran more than once
    call CallId(1) of request school/p received the answer to request school/q
    call CallId(1) of request school/p received an incomplete answer
    call CallId(1) of request school/p was refused as not run, but it ran
    call CallId(2) of request school/p was refused as not run, but it ran
    call CallId(7) was never made
    ");
}

#[test]
fn call_that_arrives_after_a_refusal_may_run() {
    let arrival = Event::Arrival { call: CallId(1) };
    let events = [call(1, "p"), call(2, "p"), refusal(2, Ran::Never), arrival, run("p", "a")];
    assert_eq!(violations(&events), Vec::<String>::new());
}

#[test]
fn answer_before_the_run_is_not_linearizable() {
    let events = [
        deposit(10),
        call(1, "order"),
        answer(1, "a"),
        call(2, "order"),
        run("order", "a"),
        bill("order", 1),
        answer(2, "a"),
    ];
    let expected =
        "the calls of non-idempotent request school/order do not agree on one run".to_owned();
    assert_eq!(violations(&events), [expected]);
}
