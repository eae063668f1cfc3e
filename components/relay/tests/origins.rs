//! Records of where streams began, and decisions on where they go on.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{sync::Arc, time::Duration};

use relay::{
    endpoints::{Choice, EndpointChange, EndpointRegistry, PlacementRequest},
    model::{EndpointEntry, EndpointPhase},
    origins::{
        NamedVersionsRow, Origin, OriginAnswer, OriginBook, OriginQueries, OriginRecord,
        QueryResult, StreamKey, TakeUp, VersionView, decide_take_up,
    },
    peers::{Member, holders_of, record_targets},
    room::RouterRoom,
};
use types::Timestamp;
use utils::seeded_rng;

fn origin(version: &str) -> Origin {
    Origin { service: "svc".into(), version: version.into() }
}

fn view(versions: &[&str], is_complete: bool) -> VersionView {
    VersionView { versions: versions.iter().map(|it| Arc::from(*it)).collect(), is_complete }
}

fn member(number: usize, domain: usize) -> Member {
    let address = |port: usize| format!("127.0.0.1:{}", port + number).parse().unwrap();
    Member {
        name: format!("router-{number}").into(),
        process: 1,
        caller_address: address(10_000),
        peer_address: address(20_000),
        failure_domain: format!("domain-{domain}").into(),
        is_ready: true,
        config_version: 1,
        processor_millis: 250,
        arrivals_per_s: 0,
        room: RouterRoom::default(),
    }
}

/// Guards against going on at a version that is only assumed: by a router that has just started, has
/// no contact to the store, or has heard of another version.
#[test]
fn stream_of_unknown_origin_goes_on_only_if_a_single_version_is_known_for_certain() {
    let service: Arc<str> = "svc".into();
    let nothing = QueryResult::default();
    let answer = |versions: &[&str], is_complete: bool| {
        let mut queries = OriginQueries::default();
        let peer = "127.0.0.1:1".parse().unwrap();
        queries.open(1, &[peer]);
        let answer = OriginAnswer { origin: None, view: view(versions, is_complete) };
        queries.add_answer(1, peer, answer);
        queries.close(1)
    };
    let at_v1 = TakeUp::At(origin("v1"));
    let decide = |own: &VersionView, answers: &QueryResult| {
        let decision = decide_take_up(&service, own, false, answers);
        // A view that is read again changes nothing if all routers have answered.
        if answers.have_all_answered() {
            assert_eq!(decide_take_up(&service, own, true, answers), decision);
        }
        decision
    };
    // A version may have joined since this router read its list.
    assert_eq!(decide(&view(&["v1"], true), &nothing), TakeUp::Unknown);
    assert_eq!(decide_take_up(&service, &view(&["v1"], true), true, &nothing), at_v1);
    assert_eq!(decide_take_up(&service, &view(&["v1"], false), true, &nothing), TakeUp::Unknown);
    assert_eq!(decide(&view(&["v1"], true), &answer(&["v1"], false)), at_v1);
    let mut partial = answer(&["v1"], true);
    partial.asked = 2;
    assert_eq!(decide(&view(&["v1"], true), &partial), TakeUp::Unknown);
    assert_eq!(decide_take_up(&service, &view(&["v1"], true), true, &partial), at_v1);
    assert_eq!(decide(&view(&["v1"], false), &nothing), TakeUp::Unknown);
    assert_eq!(decide(&view(&["v1"], false), &answer(&["v1"], true)), at_v1);
    assert_eq!(decide(&view(&["v1"], true), &answer(&["v2"], false)), TakeUp::Unknown);
    assert_eq!(decide(&view(&["v1", "v2"], true), &nothing), TakeUp::Unknown);
    assert_eq!(decide(&view(&[], true), &nothing), TakeUp::Unknown);
    let known = QueryResult { origin: Some(origin("v2")), ..QueryResult::default() };
    assert_eq!(decide(&view(&["v1"], true), &known), TakeUp::At(origin("v2")));
}

/// Guards against a record of an attempt without an event that hides the one that began the stream.
#[test]
fn record_of_a_later_attempt_replaces_that_of_an_earlier_one_in_any_order() {
    let key = StreamKey::new("school", "r1");
    let record = |attempt, version| OriginRecord { key, attempt, origin: origin(version) };
    for order in [[0, 1], [1, 0]] {
        let mut book = OriginBook::default();
        for attempt in order {
            book.record(&record(attempt, ["v1", "v2"][attempt as usize]), Timestamp::ZERO);
        }
        assert_eq!(book.get(key, Timestamp::ZERO), Some(origin("v2")));
        assert_eq!(book.get(StreamKey::new("other", "r1"), Timestamp::ZERO), None);
        let later = Timestamp::ZERO + Duration::from_secs(600);
        assert_eq!(book.get(key, later), None);
        book.expire(later);
        assert!(book.is_empty());
    }
}

/// Guards against records that are lost together with a failure domain, or with the router that
/// began the stream.
#[test]
fn record_is_kept_in_several_failure_domains_and_found_again() {
    for routers in [8, 83, 300] {
        let members: Vec<Member> = (0..routers).map(|it| member(it, it % 4)).collect();
        let all: Vec<&Member> = members.iter().collect();
        for number in 0..50 {
            let key = StreamKey::new("school", &format!("r{number}"));
            let holders = holders_of(key, &all);
            let domain_of = |address| {
                let found = members.iter().find(|it| it.peer_address == address).unwrap();
                found.failure_domain.clone()
            };
            let mut domains: Vec<_> = holders.iter().map(|it| domain_of(*it)).collect();
            domains.sort();
            domains.dedup();
            assert_eq!(domains.len(), 3, "{routers} routers");
            // Another router that does not know some of the members chooses mostly the same ones.
            let some: Vec<&Member> = members.iter().skip(1).collect();
            let common = holders_of(key, &some).iter().filter(|it| holders.contains(it)).count();
            assert!(common >= 2, "{routers} routers: {common} holders in common");
        }
    }
}

/// Guards against a record that stays at other routers although a later attempt began the stream, at a router
/// that has stood still and takes all others for unreachable.
#[test]
fn record_reaches_those_that_have_an_earlier_one_and_others_if_none_is_live() {
    let members: Vec<Member> = (0..8).map(|it| member(it, it % 4)).collect();
    let targets = |live: &[usize], earlier: &[std::net::SocketAddr]| {
        let known: Vec<(&Member, bool)> =
            members.iter().enumerate().map(|(number, it)| (it, live.contains(&number))).collect();
        record_targets(StreamKey::new("school", "r1"), &known, earlier)
    };
    let all: Vec<usize> = (0..8).collect();
    let first = targets(&all, &[]);
    assert_eq!(first.len(), 3);
    assert_eq!(targets(&[], &[]), first);
    let earlier = [member(6, 2).peer_address, member(7, 3).peer_address];
    for live in [&all[..], &[], &[1]] {
        let targets = targets(live, &earlier);
        assert!(earlier.iter().all(|it| targets.contains(it)), "{live:?}: {targets:?}");
        assert!(targets.len() <= 3 + 3 + earlier.len());
    }
}

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

/// Guards against forgetting a version as soon as its last endpoint is gone: its streams may still be
/// taken up.
#[test]
fn version_is_remembered_after_its_last_endpoint() {
    let mut endpoints = EndpointRegistry::default();
    let now = Timestamp::ZERO + Duration::from_secs(1);
    let write = |endpoints: &mut EndpointRegistry, entry, at| {
        endpoints.apply_change(EndpointChange::Written(entry), at);
    };
    write(&mut endpoints, entry("i-1", "v1", 1), now);
    write(&mut endpoints, entry("i-2", "v2", 2), now);
    endpoints.apply_change(EndpointChange::Removed("i-1".into()), now);
    let versions = |endpoints: &EndpointRegistry, at| endpoints.versions("svc", at).join(",");
    assert_eq!(versions(&endpoints, now), "v1,v2");
    // The same endpoint starts again with another version.
    let later = now + Duration::from_secs(40);
    write(&mut endpoints, entry("i-2", "v3", 3), later);
    assert_eq!(versions(&endpoints, later), "v1,v2,v3");
    assert_eq!(versions(&endpoints, now + Duration::from_secs(90)), "v2,v3");
    assert_eq!(versions(&endpoints, now + Duration::from_secs(120)), "v3");
}

/// Guards against new streams that fill the endpoints of a version that is being replaced, which are
/// the only ones where its streams can go on.
#[test]
fn new_streams_go_to_the_newer_version_and_others_to_their_own() {
    let mut endpoints = EndpointRegistry::default();
    let now = Timestamp::ZERO;
    let versions = [("i-1", "v1", 1), ("i-2", "v2", 2), ("i-3", "v2", 3), ("i-4", "v2", 4)];
    for (id, version, started_at_ms) in versions {
        let change = EndpointChange::Written(entry(id, version, started_at_ms));
        endpoints.apply_change(change, now);
    }
    let mut place = |version: Option<&str>| {
        let version = version.map(Arc::from);
        let request = PlacementRequest {
            service: &"svc".into(),
            spec: None,
            tokens: None,
            parts: &[],
            failed_endpoints: &[],
            failure_domain: "zlin",
            routers: 3,
            begins_stream: false,
            version: version.as_ref(),
            is_stream: true,
            suspect: None,
            fill_share: 1.0,
        };
        endpoints.place(&request, now, &mut seeded_rng(1))
    };
    for _ in 0..10 {
        let Choice::Placed(placement) = place(None) else { panic!("not placed") };
        assert_eq!(&*placement.version, "v2");
        let Choice::Placed(placement) = place(Some("v1")) else { panic!("not placed") };
        assert_eq!(&*placement.endpoint, "i-1");
    }
    assert_eq!(place(Some("v0")), Choice::NoVersion);
}

/// Guards against going on, or beginning a stream, at an endpoint that has started again, perhaps with another
/// version, before its new entry has arrived.
#[test]
fn endpoint_whose_entry_is_outdated_gets_no_stream_of_its_former_version() {
    let mut endpoints = EndpointRegistry::default();
    let now = Timestamp::ZERO + Duration::from_secs(1);
    let version: Arc<str> = "v1".into();
    endpoints.apply_change(EndpointChange::Written(entry("i-1", "v1", 1)), now);
    endpoints.set_named_versions(&"svc".into(), [(version.clone(), now)].into_iter());
    let place = |endpoints: &mut EndpointRegistry, begins_stream: bool| {
        let request = PlacementRequest {
            service: &"svc".into(),
            spec: None,
            tokens: None,
            parts: &[],
            failed_endpoints: &[],
            failure_domain: "zlin",
            routers: 3,
            begins_stream,
            version: (!begins_stream).then_some(&version),
            is_stream: true,
            suspect: None,
            fill_share: 1.0,
        };
        endpoints.place(&request, now, &mut seeded_rng(1))
    };
    let Choice::Placed(placement) = place(&mut endpoints, false) else { panic!("not placed") };
    endpoints.record_end("i-1", placement.process, now);
    assert_eq!(place(&mut endpoints, false), Choice::NoVersion);
    assert_eq!(place(&mut endpoints, true), Choice::Unnamed);
    // An entry that the ended process wrote may arrive late.
    endpoints.apply_change(EndpointChange::Written(entry("i-1", "v1", 1)), now);
    assert_eq!(place(&mut endpoints, false), Choice::NoVersion);
    assert_eq!(place(&mut endpoints, true), Choice::Unnamed);
    endpoints.apply_change(EndpointChange::Written(entry("i-1", "v1", 2)), now);
    assert!(matches!(place(&mut endpoints, false), Choice::Placed(_)));
    assert!(matches!(place(&mut endpoints, true), Choice::Placed(_)));
}

/// Guards against a query that ends early because routers that answered twice count for others.
#[test]
fn query_is_final_only_when_every_router_has_answered_or_one_has_the_record() {
    let peers = [1, 2].map(|port| std::net::SocketAddr::from(([127, 0, 0, 1], port)));
    let answer = |origin| OriginAnswer { origin, view: view(&["v1"], true) };
    let mut queries = OriginQueries::default();
    queries.open(1, &peers);
    queries.add_answer(1, peers[0], answer(None));
    queries.add_answer(1, peers[0], answer(None));
    assert!(!queries.is_final(1));
    assert_eq!(queries.unanswered(1), [peers[1]]);
    queries.add_answer(1, peers[1], answer(Some(origin("v2"))));
    assert!(queries.is_final(1));
    assert_eq!(queries.close(1).origin, Some(origin("v2")));
}

/// Guards against streams at versions that routers which start later would not know of.
#[test]
fn streams_begin_only_at_versions_that_the_store_names() {
    let mut endpoints = EndpointRegistry::default();
    let now = Timestamp::ZERO;
    for (id, version) in [("i-1", "v1"), ("i-2", "v1"), ("i-3", "v2"), ("i-4", "v2")] {
        let entry = entry(id, version, 1);
        endpoints.apply_change(EndpointChange::Written(entry), now);
    }
    let place = |endpoints: &mut EndpointRegistry, begins_stream: bool, seed: u64| {
        let request = PlacementRequest {
            service: &"svc".into(),
            spec: None,
            tokens: None,
            parts: &[],
            is_stream: true,
            failed_endpoints: &[],
            failure_domain: "zlin",
            routers: 1,
            begins_stream,
            version: None,
            suspect: None,
            fill_share: 1.0,
        };
        endpoints.place(&request, now, &mut seeded_rng(seed))
    };
    assert!(endpoints.has_unnamed_versions());
    assert_eq!(place(&mut endpoints, true, 0), Choice::Unnamed);
    assert!(matches!(place(&mut endpoints, false, 0), Choice::Placed(_)));
    let named = |versions: &[&str]| -> Vec<(Arc<str>, Timestamp)> {
        versions.iter().map(|it| (Arc::from(*it), now)).collect()
    };
    endpoints.set_named_versions(&"svc".into(), named(&["v1"]).into_iter());
    for seed in 0..20 {
        let Choice::Placed(placement) = place(&mut endpoints, true, seed) else { panic!() };
        assert_eq!(*placement.version, *"v1");
    }
    assert!(endpoints.has_unnamed_versions());
    // A version that was named a moment ago is used only if there is no other one.
    let joined = [(Arc::from("v1"), now), (Arc::from("v2"), now + Duration::from_secs(1))];
    endpoints.set_named_versions(&"svc".into(), joined.into_iter());
    for seed in 0..20 {
        let Choice::Placed(placement) = place(&mut endpoints, true, seed) else { panic!() };
        assert_eq!(*placement.version, *"v1");
    }
    for id in ["i-1", "i-2"] {
        endpoints.apply_change(EndpointChange::Removed(id.into()), now);
    }
    assert!(matches!(place(&mut endpoints, true, 0), Choice::Placed(_)));
    assert!(!endpoints.has_unnamed_versions());
}

/// Guards against a version that is forgotten while callers may still come back with its streams, and
/// against streams that are refused long after their service has a single version again.
#[test]
fn row_names_a_version_for_as_long_as_callers_may_come_back() {
    let versions = |row: &NamedVersionsRow, now_ms: u64| row.in_memory(now_ms);
    let (v1, v2): (Arc<str>, Arc<str>) = ("v1".into(), "v2".into());
    let first = NamedVersionsRow::default().updated(std::slice::from_ref(&v1), 1_000);
    // A single version is not written again, and may have been in use until now.
    assert_eq!(versions(&first, 900_000), ["v1".into()]);
    let both = first.updated(std::slice::from_ref(&v2), 900_000);
    assert!(both.names(&[v1.clone(), v2.clone()]));
    assert_eq!(versions(&both, 960_000), [v1.clone(), v2.clone()]);
    let refreshed = both.updated(std::slice::from_ref(&v2), 960_000);
    assert_eq!(versions(&refreshed, 965_000), [v1.clone(), v2.clone()]);
    assert_eq!(versions(&refreshed, 975_000), ["v2".into()]);
    let alone = refreshed.updated(std::slice::from_ref(&v2), 975_000);
    assert!(!alone.names(&[v1]));
    assert_eq!(versions(&alone, 2_000_000), [v2]);
}
