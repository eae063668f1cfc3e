//! When an endpoint is taken to be gone.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test ends where it cannot go on, and its numbers are small"
)]

use std::{sync::Arc, time::Duration};

use relay::{
    endpoints::{Choice, EndpointChange, EndpointRegistry, Need},
    model::{EndpointEntry, EndpointPhase},
};
use types::Timestamp;
use utils::seeded_rng;

fn entry(id: &str, started_at_ms: u64, phase: EndpointPhase) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        started_at_ms,
        service: "portal".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "zlin".into(),
        capacity: 6,
        phase,
    }
}

fn ready(id: &str) -> EndpointChange {
    EndpointChange::Written(entry(id, 1, EndpointPhase::Ready))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn place(book: &mut EndpointRegistry, millis: u64) -> Choice {
    let service: Arc<str> = "portal".into();
    let need = Need {
        service: &service,
        spec: None,
        tokens: None,
        parts: &[],
        avoid: &[],
        failure_domain: "zlin",
        routers: 1,
        fill_share: 1.0,
    };
    book.place(&need, at(millis), &mut seeded_rng(millis))
}

#[test]
fn removed_entry_ends_the_endpoint_at_once() {
    let mut book = EndpointRegistry::default();
    book.apply_change(ready("e1"), at(0));
    book.apply_change(EndpointChange::Removed("e1".into()), at(10));
    assert_eq!(place(&mut book, 10), Choice::Absent);
}

#[test]
fn entry_missing_after_an_outage_has_two_seconds_to_come_back() {
    let mut book = EndpointRegistry::default();
    book.apply_list(vec![entry("e1", 1, EndpointPhase::Ready)], at(0));
    book.note_contact(false, at(1_000));
    book.note_contact(true, at(5_000));
    book.apply_list(Vec::new(), at(5_000));
    book.expire(at(6_900));
    assert!(matches!(place(&mut book, 6_900), Choice::Place(_)));
    book.expire(at(7_000));
    assert_eq!(place(&mut book, 7_000), Choice::Absent);
}

#[test]
fn entry_that_comes_back_keeps_the_endpoint() {
    let mut book = EndpointRegistry::default();
    book.apply_change(ready("e1"), at(0));
    book.note_contact(false, at(1_000));
    book.note_contact(true, at(5_000));
    book.apply_change(EndpointChange::Removed("e1".into()), at(5_000));
    book.apply_change(ready("e1"), at(6_000));
    book.expire(at(9_000));
    assert!(matches!(place(&mut book, 9_000), Choice::Place(_)));
}

#[test]
fn leaving_endpoint_gets_nothing_new() {
    let mut book = EndpointRegistry::default();
    book.apply_change(ready("e1"), at(0));
    let leaving = entry("e1", 1, EndpointPhase::Leaving);
    book.apply_change(EndpointChange::Written(leaving), at(10));
    assert_eq!(place(&mut book, 10), Choice::Absent);
    assert!(!book.is_in_service("e1"));
}

#[test]
fn entry_of_an_earlier_process_is_ignored() {
    let mut book = EndpointRegistry::default();
    book.apply_change(EndpointChange::Written(entry("e1", 5, EndpointPhase::Ready)), at(0));
    let late = entry("e1", 4, EndpointPhase::Leaving);
    book.apply_change(EndpointChange::Written(late), at(10));
    assert!(book.is_in_service("e1"));
}

#[test]
fn full_endpoints_are_told_from_missing_ones() {
    let mut book = EndpointRegistry::default();
    book.apply_change(ready("e1"), at(0));
    let placed = (0..6).filter(|_| matches!(place(&mut book, 20), Choice::Place(_))).count();
    assert_eq!(placed, 6);
    assert_eq!(place(&mut book, 20), Choice::Full);
}

#[test]
fn endpoint_that_fails_is_tried_again_after_a_while() {
    let mut book = EndpointRegistry::default();
    book.apply_change(ready("e1"), at(0));
    book.apply_change(ready("e2"), at(0));
    (0..20).for_each(|_| book.note_outcome("e1", true, at(100)));
    let placed_on_e1 = |book: &mut EndpointRegistry, millis: u64| {
        let Choice::Place(placement) = place(book, millis) else { panic!("there is room") };
        book.end(&placement.endpoint, placement.load);
        &*placement.endpoint == "e1"
    };
    assert!((0..20).all(|_| !placed_on_e1(&mut book, 150)));
    let later = at(100) + Duration::from_secs(60);
    assert!((0..20).any(|step| placed_on_e1(&mut book, later.as_millis() + step)));
}
