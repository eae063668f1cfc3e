//! Requests for which an account has too few tokens: when waiting helps, and when it does not.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{sync::Arc, time::Duration};

use relay::{
    allowance::{HolderStatement, Role, RouterAllowances, Shortage},
    model::Account,
};
use types::Timestamp;
use utils::HashMap;

const ACCOUNT: &str = "school";
const LIMIT: u64 = 60_000;

/// Tokens of the requests that find too few.
const NEEDED: u64 = 1_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn account() -> Arc<str> {
    ACCOUNT.into()
}

fn set_limit(allowances: &mut RouterAllowances, limit: u64, version: u64) {
    let account = Account { name: account(), priority: None, prepaid_tokens: Some(limit) };
    let accounts = [(Arc::from("key"), Arc::new(account))].into_iter().collect::<HashMap<_, _>>();
    allowances.set_accounts(&accounts, version);
}

/// Returns a router that knows two holders, and is one of them if it has the name of one.
fn router(name: &str) -> RouterAllowances {
    let mut allowances = RouterAllowances::new(name.into(), 1);
    set_limit(&mut allowances, LIMIT, 1);
    allowances.set_holders(&["holder-1".into(), "holder-2".into()]);
    allowances.apply_rows(&[], &[], at(0));
    allowances
}

/// Lets both holders state what they have, then asks whether the request is to be refused for good.
fn is_unobtainable(
    allowances: &mut RouterAllowances,
    held: [u64; 2],
    tokens: u64,
    now: Timestamp,
) -> bool {
    for (holder, held) in ["holder-1", "holder-2"].into_iter().zip(held) {
        let statement = HolderStatement { held, undrawn: 0 };
        allowances.record_statement(ACCOUNT, holder.into(), statement, now);
    }
    allowances.is_unobtainable(ACCOUNT, tokens, now)
}

#[test]
fn request_is_refused_for_good_once_no_router_has_had_its_tokens_for_two_seconds() {
    let mut allowances = router("router-3");
    for millis in (0..2_000).step_by(250) {
        assert!(!is_unobtainable(&mut allowances, [400, 500], NEEDED, at(millis)), "{millis} ms");
    }
    for millis in (2_000..8_000).step_by(250) {
        assert!(is_unobtainable(&mut allowances, [400, 500], NEEDED, at(millis)), "{millis} ms");
        assert!(!is_unobtainable(&mut allowances, [400, 500], 900, at(millis)), "smaller requests");
    }
}

#[test]
fn tokens_that_a_holder_gets_back_can_be_waited_for() {
    let mut allowances = router("router-3");
    for millis in (0..6_000).step_by(250) {
        let returned = if millis % 3_000 == 0 { 600 } else { 0 };
        let held = [400 + returned, 0];
        assert!(!is_unobtainable(&mut allowances, held, NEEDED, at(millis)), "{millis} ms");
    }
}

#[test]
fn tokens_on_this_router_count() {
    let mut allowances = router("router-3");
    allowances.credit(ACCOUNT, 200);
    for millis in (0..6_000).step_by(250) {
        assert!(!is_unobtainable(&mut allowances, [400, 400], NEEDED, at(millis)), "{millis} ms");
    }
}

#[test]
fn silent_holder_may_have_the_tokens() {
    let mut allowances = router("router-3");
    for millis in (0..2_500).step_by(250) {
        is_unobtainable(&mut allowances, [400, 500], NEEDED, at(millis));
    }
    let statement = HolderStatement { held: 0, undrawn: 0 };
    for millis in (2_500..9_000).step_by(250) {
        allowances.record_statement(ACCOUNT, "holder-1".into(), statement, at(millis));
        let is_refused = allowances.is_unobtainable(ACCOUNT, NEEDED, at(millis));
        assert!(!is_refused || millis < 4_000, "{millis} ms");
    }
}

#[test]
fn undrawn_tokens_can_be_waited_for() {
    let mut allowances = router("router-3");
    for millis in (0..6_000).step_by(250) {
        for holder in ["holder-1", "holder-2"] {
            let statement = HolderStatement { held: 0, undrawn: NEEDED };
            allowances.record_statement(ACCOUNT, holder.into(), statement, at(millis));
        }
        assert!(!allowances.is_unobtainable(ACCOUNT, NEEDED, at(millis)), "{millis} ms");
    }
}

#[test]
fn added_tokens_end_the_refusals_at_once() {
    let mut allowances = router("router-3");
    for millis in (0..4_000).step_by(250) {
        is_unobtainable(&mut allowances, [0, 0], NEEDED, at(millis));
    }
    assert!(is_unobtainable(&mut allowances, [0, 0], NEEDED, at(4_000)));
    set_limit(&mut allowances, 2 * LIMIT, 2);
    assert!(!is_unobtainable(&mut allowances, [0, 0], NEEDED, at(4_010)));
}

#[test]
fn holder_states_nothing_while_the_store_is_away() {
    let mut allowances = router("holder-1");
    let stated = allowances.own_statement(ACCOUNT, at(10));
    assert_eq!(stated, Some(HolderStatement { held: 0, undrawn: LIMIT }));
    allowances.set_store_available(false);
    assert_eq!(allowances.own_statement(ACCOUNT, at(10)), None);
    allowances.set_store_available(true);
    assert_eq!(allowances.own_statement(ACCOUNT, at(3_000)), None, "its rows are old");
}

#[test]
fn new_process_states_nothing_before_it_has_read_the_rows() {
    let mut allowances = RouterAllowances::new("holder-1".into(), 2);
    set_limit(&mut allowances, LIMIT, 1);
    allowances.set_holders(&["holder-1".into()]);
    assert_eq!(allowances.own_statement(ACCOUNT, at(10)), None);
}

/// Many borrowers with a part of a request each would otherwise keep tokens that serve nobody.
#[test]
fn borrower_gives_too_small_a_part_back_when_few_tokens_are_left() {
    let mut allowances = router("router-3");
    assert_eq!(allowances.role_for(ACCOUNT), Role::Borrower);
    allowances.apply_holder_totals(ACCOUNT, 0, 0);
    allowances.credit(ACCOUNT, 600);
    let refused = allowances.reserve(&account(), NEEDED, at(1_000));
    assert_eq!(refused, Err(Shortage::OutOfReach));
    assert_eq!(allowances.take_surplus(at(1_000)), [], "the request may still get the rest");
    allowances.record_refusal(ACCOUNT, NEEDED, at(1_040));
    // At most a part of the limit goes back in one message.
    let returned: u64 = std::iter::repeat_with(|| allowances.take_surplus(at(1_100)))
        .take(4)
        .flatten()
        .map(|(_, tokens)| tokens)
        .sum();
    assert_eq!(returned, 600);
}

#[test]
fn borrower_keeps_enough_for_its_next_request() {
    let mut allowances = router("router-3");
    allowances.apply_holder_totals(ACCOUNT, 0, 0);
    allowances.credit(ACCOUNT, 600);
    let _ = allowances.reserve(&account(), NEEDED, at(1_000));
    allowances.record_refusal(ACCOUNT, NEEDED, at(1_040));
    allowances.credit(ACCOUNT, 400);
    assert_eq!(allowances.take_surplus(at(1_100)), []);
    let late = at(1_100) + Duration::from_millis(300);
    assert_eq!(allowances.take_surplus(late).len(), 1, "idle");
}
