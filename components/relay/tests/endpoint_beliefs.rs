//! Tests which endpoints of the list get requests, and when an endpoint is removed.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

use std::{sync::Arc, time::Duration};

use relay::{
    endpoints::{Choice, EndpointChange, EndpointRegistry, PlacementRequest},
    model::{EndpointEntry, EndpointPhase},
};
use types::Timestamp;
use utils::seeded_rng;

fn entry(id: &str, started_at_ms: u64, phase: EndpointPhase) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        started_at_ms,
        version: "v1".into(),
        service: "portal".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        failure_domain: "zlin".into(),
        capacity: 6,
        phase,
        cold_remaining: None,
    }
}

fn ready(id: &str) -> EndpointChange {
    EndpointChange::Written(entry(id, 1, EndpointPhase::Ready))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

fn place(registry: &mut EndpointRegistry, millis: u64) -> Choice {
    let service: Arc<str> = "portal".into();
    let request = PlacementRequest {
        service: &service,
        spec: None,
        tokens: None,
        parts: &[],
        failed_endpoints: &[],
        failure_domain: "zlin",
        routers: 1,
        begins_stream: false,
        version: None,
        is_stream: false,
        suspect: None,
        fill_share: 1.0,
    };
    registry.place(&request, at(millis), &mut seeded_rng(millis))
}

#[test]
fn removed_entry_removes_the_endpoint_at_once() {
    let mut registry = EndpointRegistry::default();
    registry.apply_change(ready("e1"), at(0));
    registry.apply_change(EndpointChange::Removed("e1".into()), at(10));
    assert_eq!(place(&mut registry, 10), Choice::NoEndpoint);
}

#[test]
fn missing_entry_has_two_seconds_to_return_after_an_outage() {
    let mut registry = EndpointRegistry::default();
    registry.apply_list(vec![entry("e1", 1, EndpointPhase::Ready)], at(0));
    registry.record_store_contact(false, at(1_000));
    registry.record_store_contact(true, at(5_000));
    registry.apply_list(Vec::new(), at(5_000));
    registry.expire(at(6_900));
    assert!(matches!(place(&mut registry, 6_900), Choice::Placed(_)));
    registry.expire(at(7_000));
    assert_eq!(place(&mut registry, 7_000), Choice::NoEndpoint);
}

#[test]
fn entry_that_comes_back_keeps_the_endpoint() {
    let mut registry = EndpointRegistry::default();
    registry.apply_change(ready("e1"), at(0));
    registry.record_store_contact(false, at(1_000));
    registry.record_store_contact(true, at(5_000));
    registry.apply_change(EndpointChange::Removed("e1".into()), at(5_000));
    registry.apply_change(ready("e1"), at(6_000));
    registry.expire(at(9_000));
    assert!(matches!(place(&mut registry, 9_000), Choice::Placed(_)));
}

#[test]
fn leaving_endpoint_gets_no_new_requests() {
    let mut registry = EndpointRegistry::default();
    registry.apply_change(ready("e1"), at(0));
    let leaving = entry("e1", 1, EndpointPhase::Leaving);
    registry.apply_change(EndpointChange::Written(leaving), at(10));
    assert_eq!(place(&mut registry, 10), Choice::NoEndpoint);
    assert!(!registry.is_in_service("e1"));
}

#[test]
fn entry_of_an_earlier_process_is_ignored() {
    let mut registry = EndpointRegistry::default();
    registry.apply_change(EndpointChange::Written(entry("e1", 5, EndpointPhase::Ready)), at(0));
    let late = entry("e1", 4, EndpointPhase::Leaving);
    registry.apply_change(EndpointChange::Written(late), at(10));
    assert!(registry.is_in_service("e1"));
}

#[test]
fn full_endpoints_are_distinguished_from_missing_ones() {
    let mut registry = EndpointRegistry::default();
    registry.apply_change(ready("e1"), at(0));
    let placed = (0..6).filter(|_| matches!(place(&mut registry, 20), Choice::Placed(_))).count();
    assert_eq!(placed, 6);
    assert_eq!(place(&mut registry, 20), Choice::Full);
}

#[test]
fn failing_endpoint_is_tried_again_after_a_while() {
    let mut registry = EndpointRegistry::default();
    registry.apply_change(ready("e1"), at(0));
    registry.apply_change(ready("e2"), at(0));
    (0..20).for_each(|_| registry.record_outcome("e1", true, at(100)));
    let placed_on_e1 = |registry: &mut EndpointRegistry, millis: u64| {
        let Choice::Placed(placement) = place(registry, millis) else {
            panic!("an endpoint has capacity")
        };
        registry.remove_request_load(&placement.endpoint, placement.load);
        &*placement.endpoint == "e1"
    };
    assert!((0..20).all(|_| !placed_on_e1(&mut registry, 150)));
    let later = at(100) + Duration::from_secs(60);
    assert!((0..20).any(|step| placed_on_e1(&mut registry, later.as_millis() + step)));
}
