//! What a router knows about the versions of a service, and how long it trusts that.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{sync::Arc, time::Duration};

use relay::{
    endpoints::{EndpointChange, EndpointRegistry},
    model::{EndpointEntry, EndpointPhase},
    origins::NamedVersionsRow,
};
use types::Timestamp;

fn entry(id: &str, version: &str, started_at_ms: u64) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        started_at_ms,
        version: version.into(),
        service: "svc".into(),
        address: "127.0.0.1:1000".parse().unwrap(),
        failure_domain: "zlin".into(),
        capacity: 100,
        phase: EndpointPhase::Ready,
        cold_remaining: None,
    }
}

/// Guards against a router out of step that takes the only version in its list for the only one, while another
/// router has begun streams at a version that joined since.
#[test]
fn streams_begin_at_a_further_version_once_no_list_without_it_is_trusted() {
    let (v1, v2): (Arc<str>, Arc<str>) = ("v1".into(), "v2".into());
    let at = |millis: u64| Timestamp::ZERO + Duration::from_millis(millis);
    let mut behind = EndpointRegistry::default();
    behind.apply_change(EndpointChange::Written(entry("i-1", "v1", 1)), at(0));
    behind.record_list_read(at(0));
    behind.record_names_read(at(0));
    let is_trusted = |millis| behind.version_view("svc", true, at(millis), at(millis)).is_complete;
    assert!(is_trusted(1_000));
    let last_trusted = (0..10_000).rev().find(|it| is_trusted(*it)).unwrap();
    // The version joins just after that read and is named at once, by the clock of the store.
    let first = NamedVersionsRow::default().updated(std::slice::from_ref(&v1), 70_000);
    assert_eq!(first.time_until_use("v1", 70_000), Duration::ZERO);
    let row = first.updated(&[v1.clone(), v2.clone()], 90_000);
    assert_eq!(row.time_until_use("v1", 90_000), Duration::ZERO);
    let mut current = EndpointRegistry::default();
    let wait = row.time_until_use("v2", 90_000);
    current
        .set_named_versions(&"svc".into(), [(v1, at(0)), (v2.clone(), at(0) + wait)].into_iter());
    let first_use = (0..10_000).find(|it| current.may_begin_streams("svc", "v2", at(*it))).unwrap();
    assert!(first_use > last_trusted, "{first_use} ms, trusted until {last_trusted} ms");
    // A row that is written or read again does not put the use off.
    let again = row.updated(std::slice::from_ref(&v2), 90_400);
    assert_eq!(again.time_until_use("v2", 90_400) + Duration::from_millis(400), wait);
    current.set_named_versions(&"svc".into(), [(v2, at(9_000))].into_iter());
    assert!(current.may_begin_streams("svc", "v2", at(first_use)));
}

/// Guards against a list that counts as recent although the host was suspended, or the connection silent, while
/// its answer was under way, and against versions that came and went in a gap between two reads.
#[test]
fn view_of_versions_is_complete_only_without_a_gap_since_the_named_ones_were_read() {
    let at = |millis: u64| Timestamp::ZERO + Duration::from_millis(millis);
    let mut endpoints = EndpointRegistry::default();
    let is_complete = |endpoints: &EndpointRegistry, now, boot_now| {
        endpoints.version_view("svc", true, at(now), at(boot_now)).is_complete
    };
    endpoints.record_list_read(at(100));
    assert!(endpoints.needs_names());
    endpoints.record_names_read(at(150));
    assert!(!endpoints.needs_names() && is_complete(&endpoints, 1_000, 1_000));
    // The host was suspended for three seconds.
    assert!(!is_complete(&endpoints, 1_000, 4_000));
    // The answer to a read that began before is as old as that.
    endpoints.record_list_read(at(1_000));
    assert!(!is_complete(&endpoints, 1_000, 4_000));
    endpoints.record_list_read(at(4_100));
    assert!(endpoints.needs_names() && !is_complete(&endpoints, 1_100, 4_100));
    endpoints.record_names_read(at(4_050));
    assert!(endpoints.needs_names());
    endpoints.record_names_read(at(4_150));
    assert!(is_complete(&endpoints, 1_200, 4_200));
    // Entries of an older copy of the store may lack a version.
    endpoints.record_older_copy(at(1_200));
    assert!(!is_complete(&endpoints, 1_300, 4_300));
}
