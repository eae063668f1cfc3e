//! Failure domains that operators empty: what is sent where, and how routers agree on it.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{sync::Arc, time::Duration};

use platform::Era;
use relay::{
    Cursor,
    domains::{EmptiedDomain, EmptiedDomains},
    endpoints::{Choice, EndpointChange, EndpointRegistry, PlacementRequest},
    model::{EndpointEntry, EndpointPhase},
    peers::{DomainsMessage, StatusMessage},
};
use types::Timestamp;
use utils::seeded_rng;

fn at_ms(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

fn cursor(era: u64, revision: u64) -> Cursor {
    Cursor { revision, era: Some(Era(era)) }
}

fn row(domain: &str, revision: u64) -> EmptiedDomain {
    EmptiedDomain { domain: domain.into(), revision }
}

fn registry() -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    for (id, domain) in [("i-1", "north"), ("i-2", "south"), ("i-3", "south")] {
        let entry = EndpointEntry {
            id: id.into(),
            started_at_ms: 1,
            version: "v1".into(),
            service: "portal".into(),
            address: "10.0.1.1:80".parse().unwrap(),
            failure_domain: domain.into(),
            capacity: 4,
            phase: EndpointPhase::Ready,
            cold_remaining: None,
        };
        registry.apply_change(EndpointChange::Written(entry), Timestamp::ZERO);
    }
    registry
}

/// Places a request whose earlier attempts failed on `failed`.
fn place(registry: &mut EndpointRegistry, failed: &[Arc<str>]) -> Choice {
    let service: Arc<str> = "portal".into();
    let request = PlacementRequest {
        service: &service,
        spec: None,
        tokens: None,
        parts: &[],
        failed_endpoints: failed,
        failure_domain: "south",
        routers: 1,
        begins_stream: false,
        version: None,
        is_stream: false,
        suspect: None,
        fill_share: 1.0,
    };
    registry.place(&request, at_ms(1_000), &mut seeded_rng(1))
}

fn place_many(registry: &mut EndpointRegistry, count: usize) -> Vec<Choice> {
    (0..count).map(|_| place(registry, &[])).collect()
}

fn is_in_north(choice: &Choice) -> bool {
    matches!(choice, Choice::Placed(it) if &*it.failure_domain == "north")
}

/// Twelve places, of which the emptied domain has eight, and more requests than the rest takes: nothing
/// goes there, also if the rest is full or has failed the request, and what exceeds the rest waits.
#[test]
fn an_emptied_domain_gets_nothing_although_the_rest_is_full() {
    let mut registry = registry();
    registry.emptied_domains_mut().apply_read(vec![row("south", 5)], cursor(1, 5), at_ms(10));
    let failed = place(&mut registry, &["i-1".into()]);
    assert!(is_in_north(&failed), "{failed:?}");
    let choices = place_many(&mut registry, 9);
    assert_eq!(choices.iter().filter(|it| is_in_north(it)).count(), 3);
    assert_eq!(choices.iter().filter(|it| **it == Choice::Full).count(), 6);
    // Another router's tunnel to the emptied domain, and idle connections there, end, too.
    assert_eq!(registry.connect_target("i-2", 1), None);
    assert!(registry.connect_target("i-1", 1).is_some());
    assert!(!registry.is_in_service("i-3"));
}

/// Both domains are emptied one after the other, and one is taken back.
#[test]
fn two_domains_are_emptied_one_after_the_other() {
    let mut registry = registry();
    let domains = registry.emptied_domains_mut();
    domains.apply_read(Vec::new(), cursor(1, 4), at_ms(0));
    domains.apply_changes([(row("south", 5), true)], cursor(1, 5), at_ms(10));
    domains.apply_changes([(row("north", 6), true)], cursor(1, 6), at_ms(20));
    assert_eq!(place(&mut registry, &[]), Choice::Emptied);
    let domains = registry.emptied_domains_mut();
    domains.apply_changes([(row("south", 7), false)], cursor(1, 7), at_ms(30));
    let choices = place_many(&mut registry, 9);
    assert!(!choices.iter().any(is_in_north));
    assert_eq!(choices.iter().filter(|it| matches!(it, Choice::Placed(_))).count(), 8);
}

/// A router that cannot reach the store learns of an emptying and of its end from others; a report that
/// is older than what it knows changes nothing, and changes that the feed brings later are not repeated.
#[test]
fn routers_without_the_store_learn_of_emptyings() {
    let (mut reader, mut other) = (EmptiedDomains::default(), EmptiedDomains::default());
    other.apply_read(Vec::new(), cursor(0, 3), at_ms(0));
    reader.apply_read(Vec::new(), cursor(0, 3), at_ms(0));
    assert_eq!(reader.report(at_ms(0)), None, "nothing is sent where nothing was ever emptied");
    reader.apply_changes([(row("south", 5), true)], cursor(0, 6), at_ms(10));
    let emptied = reader.report(at_ms(10)).unwrap().clone();
    other.apply_report(emptied.clone(), at_ms(20));
    assert!(other.is_emptied("south"));
    reader.apply_changes([(row("south", 8), false)], cursor(0, 9), at_ms(30));
    other.apply_report(reader.report(at_ms(30)).unwrap().clone(), at_ms(40));
    other.apply_report(emptied, at_ms(50));
    assert!(!other.is_emptied("south"));
    other.apply_changes([(row("south", 5), true)], cursor(0, 7), at_ms(60));
    assert!(!other.is_emptied("south"), "the feed lags behind the reports");
    other.apply_changes([(row("north", 10), true)], cursor(0, 10), at_ms(70));
    assert!(other.is_emptied("north") && !other.is_emptied("south"));
}

/// A feed that lost its history is replaced by a whole read, in which a domain is missing that was
/// taken back meanwhile.
#[test]
fn a_whole_read_ends_an_emptying_that_the_feed_missed() {
    let mut domains = EmptiedDomains::default();
    domains.apply_read(vec![row("south", 5)], cursor(0, 5), at_ms(0));
    domains.apply_read(Vec::new(), cursor(0, 400), at_ms(9_000));
    assert!(!domains.is_emptied("south"));
}

/// The store comes back from a copy that lacks one emptying and still has one that was taken back.
/// Neither changes until operators have had time to write their rows again.
#[test]
fn an_older_copy_neither_ends_nor_revives_an_emptying() {
    let mut domains = EmptiedDomains::default();
    domains.apply_read(vec![row("north", 4)], cursor(1, 5), at_ms(0));
    domains.apply_changes([(row("north", 8), false)], cursor(1, 8), at_ms(10));
    domains.apply_changes([(row("south", 9), true)], cursor(1, 9), at_ms(20));
    domains.apply_read(vec![row("north", 4)], cursor(2, 6), at_ms(1_000));
    assert!(domains.is_emptied("south") && !domains.is_emptied("north"));
    assert_eq!(domains.report(at_ms(1_000)), None, "others are not told before it is certain");
    assert!(!domains.needs_read(at_ms(2_000)));
    domains.apply_changes([(row("south", 7), true)], cursor(2, 7), at_ms(2_000));
    assert!(domains.needs_read(at_ms(4_000)));
    domains.apply_read(vec![row("south", 7)], cursor(2, 8), at_ms(4_000));
    assert!(domains.is_emptied("south") && !domains.is_emptied("north"));
    assert!(!domains.needs_read(at_ms(9_000)));
    assert!(domains.report(at_ms(4_000)).is_some());
}

/// An emptying that its operator takes back after the store came back from an older copy ends with
/// the read that follows, also if the store's revision has not moved.
#[test]
fn an_emptying_that_is_not_written_again_ends() {
    let mut domains = EmptiedDomains::default();
    domains.apply_read(vec![row("south", 9)], cursor(1, 9), at_ms(0));
    domains.apply_read(Vec::new(), cursor(2, 6), at_ms(1_000));
    assert!(domains.is_emptied("south"));
    domains.apply_read(Vec::new(), cursor(2, 6), at_ms(4_000));
    assert!(!domains.is_emptied("south"));
}

/// An emptying that was acknowledged in the new era takes effect at once, on routers that are still in
/// the former one as soon as they are told.
#[test]
fn an_emptying_right_after_an_older_copy_takes_effect() {
    let (mut reader, mut other) = (EmptiedDomains::default(), EmptiedDomains::default());
    reader.apply_read(Vec::new(), cursor(1, 9), at_ms(0));
    other.apply_read(Vec::new(), cursor(1, 9), at_ms(0));
    reader.apply_read(Vec::new(), cursor(2, 6), at_ms(1_000));
    reader.apply_changes([(row("south", 7), true)], cursor(2, 7), at_ms(1_500));
    assert!(reader.is_emptied("south"));
    other.apply_report(reader.report(at_ms(4_000)).unwrap().clone(), at_ms(4_000));
    assert!(other.is_emptied("south"));
}

/// The view keeps its tags, and lists of different lengths are not applied.
#[test]
fn views_travel_in_status_messages() {
    let mut domains = EmptiedDomains::default();
    domains.apply_read(vec![row("south", 9)], cursor(0, 12), at_ms(0));
    let view = domains.report(at_ms(0)).unwrap();
    let message = DomainsMessage::from_view(view);
    assert_eq!(message.to_view().as_ref(), Some(view));
    let status = StatusMessage {
        emptied_domains: Some(Box::new(message.clone())),
        ..StatusMessage::default()
    };
    let bytes = prost::Message::encode_to_vec(&status);
    insta::assert_snapshot!(bytes.iter().map(|it| format!("{it:02x}")).collect::<String>(), @"92010c100c1a05736f757468220109");
    let message = DomainsMessage { revisions: Vec::new(), ..message };
    assert_eq!(message.to_view(), None);
}
