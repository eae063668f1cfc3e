//! Tests of `home_directory`.

use types::{AccountName, Incarnation, RequestId, RouterName};

use super::*;

fn attempt(router: &str, number: u64) -> Attempt {
    Attempt::new(RouterId::new(RouterName::new(router).unwrap(), Incarnation(1)), number)
}

fn claim(router: &str, number: u64) -> Claim {
    let key = RequestKey::new(AccountName::new("a").unwrap(), RequestId::new("order-1").unwrap());
    let fingerprint = Digest::from_content(b"order");
    Claim { key, fingerprint, attempt: attempt(router, number), given_up: None }
}

const LATER: Timestamp = Timestamp::from_millis(3_600_000);

#[test]
fn second_router_is_referred_to_the_first_attempt_until_it_ends() {
    let mut home = HomeDirectory::default();
    let first = claim("r1", 1);
    assert_eq!(
        home.claim(LATER, &first, true, |_| true),
        ClaimDecision::Granted { is_first: true }
    );
    let runs = ClaimDecision::RunsAt(attempt("r1", 1));
    assert_eq!(home.claim(LATER, &claim("r2", 1), true, |_| true), runs);
    home.end(LATER, &first.key, &attempt("r1", 1), EndState::NotRun);
    assert_eq!(
        home.claim(LATER, &claim("r2", 2), true, |_| true),
        ClaimDecision::Granted { is_first: true }
    );
}

#[test]
fn attempt_after_a_dead_router_is_not_the_first() {
    let mut home = HomeDirectory::default();
    home.claim(LATER, &claim("r1", 1), true, |_| true);
    let decision = home.claim(LATER, &claim("r2", 1), true, |_| false);
    assert_eq!(decision, ClaimDecision::Granted { is_first: false });
    let late = attempt("r1", 1);
    home.end(LATER, &claim("r1", 1).key, &late, EndState::NotRun);
    assert_eq!(
        home.claim(LATER, &claim("r3", 1), true, |_| true),
        ClaimDecision::RunsAt(attempt("r2", 1))
    );
}

#[test]
fn answer_of_a_dead_router_comes_from_the_object_store() {
    let mut home = HomeDirectory::default();
    let first = claim("r1", 1);
    home.claim(LATER, &first, true, |_| true);
    let object = Some("kept/r1/7".to_owned());
    home.end(LATER, &first.key, &first.attempt, EndState::Kept { object });
    let kept = ClaimDecision::Kept { attempt: attempt("r1", 1), object: "kept/r1/7".to_owned() };
    assert_eq!(home.claim(LATER, &claim("r2", 1), true, |_| false), kept);
    let mut failed = claim("r2", 1);
    failed.given_up = Some(attempt("r1", 1));
    assert_eq!(
        home.claim(LATER, &failed, true, |_| false),
        ClaimDecision::Granted { is_first: false }
    );
}

#[test]
fn new_directory_confirms_no_attempt_as_the_first() {
    let mut home = HomeDirectory::new(LATER);
    let not_first = ClaimDecision::Granted { is_first: false };
    assert_eq!(home.claim(LATER, &claim("r1", 1), true, |_| true), not_first);
    let mut other = claim("r2", 1);
    other.fingerprint = Digest::from_content(b"other");
    assert_eq!(home.claim(LATER, &other, true, |_| true), ClaimDecision::Reused);
}

#[test]
fn moved_entries_are_handed_over_and_merged() {
    let mut old = HomeDirectory::default();
    let mut new = HomeDirectory::default();
    old.claim(LATER, &claim("r1", 1), true, |_| true);
    new.claim(LATER, &claim("r2", 1), true, |_| true);
    for handover in old.remove_moved(|_| false) {
        new.merge_handover(LATER, handover);
    }
    assert!(old.is_empty());
    assert_eq!(
        new.claim(LATER, &claim("r3", 1), true, |_| true),
        ClaimDecision::RunsAt(attempt("r2", 1))
    );
}
