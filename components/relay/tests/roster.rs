//! Tests which routers are returned to new callers and as candidates for holders.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

use std::{sync::Arc, time::Duration};

use prost::Message as _;
use relay::{
    peers::{LivenessMessage, LivenessReport, Member, Roster, process_key},
    room::RouterRoom,
};
use types::Timestamp;

fn member(number: u8, is_ready: bool) -> Member {
    Member {
        name: format!("router-{number}").into(),
        process: u64::from(number),
        caller_address: format!("10.0.0.{number}:80").parse().unwrap(),
        peer_address: format!("10.0.0.{number}:7200").parse().unwrap(),
        failure_domain: Arc::from("zlin"),
        is_ready,
        config_version: 3,
        processor_millis: 250,
        arrivals_per_s: 10,
        room: RouterRoom::default(),
    }
}

fn ready(roster: &Roster, millis: u64) -> Vec<String> {
    let members = roster.ready_members(Timestamp::from_millis(millis));
    let mut names: Vec<String> = members.iter().map(|it| it.name.to_string()).collect();
    names.sort();
    names
}

#[test]
fn unreachable_and_leaving_routers_get_no_callers() {
    let mut roster = Roster::default();
    for number in 1..=3 {
        roster.record_status(member(number, true), Timestamp::ZERO);
    }
    assert_eq!(ready(&roster, 500).len(), 3);
    roster.record_status(member(1, true), Timestamp::from_millis(2_000));
    roster.record_status(member(2, false), Timestamp::from_millis(2_000));
    assert_eq!(ready(&roster, 2_100), ["router-1"]);
}

#[test]
fn router_without_live_peers_still_returns_the_known_ones() {
    let mut roster = Roster::default();
    roster.record_status(member(1, true), Timestamp::ZERO);
    assert_eq!(ready(&roster, 5_000), ["router-1"]);
    roster.expire(Timestamp::from_millis(25_000));
    assert!(ready(&roster, 25_000).is_empty());
}

/// All other routers were killed: the one that is left names them for a few seconds only.
#[test]
fn routers_that_ended_are_not_returned_after_seconds() {
    let mut roster = Roster::default();
    for number in 1..=3 {
        roster.record_status(member(number, true), Timestamp::ZERO);
    }
    assert_eq!(ready(&roster, 5_400).len(), 3);
    assert!(ready(&roster, 5_600).is_empty());
}

#[test]
fn member_row_does_not_override_a_status_message() {
    let mut roster = Roster::default();
    roster.record_status(member(1, false), Timestamp::ZERO);
    roster.add_listed(member(1, true), Timestamp::from_millis(100));
    assert!(ready(&roster, 100).is_empty());
}

fn report(member: &Member, age_ms: u64, is_ready: bool) -> LivenessReport {
    LivenessReport {
        process_key: process_key(member),
        age: Duration::from_millis(age_ms),
        is_ready,
    }
}

#[test]
fn liveness_reports_survive_encoding_and_get_no_younger() {
    let sent: Vec<LivenessReport> =
        (1..=75_u8).map(|it| report(&member(it, true), u64::from(it) * 7, it % 2 == 0)).collect();
    let message = LivenessMessage::new(sent.iter().copied());
    let received = LivenessMessage::decode(&*message.encode_to_vec()).unwrap().reports();
    assert_eq!(received.len(), sent.len());
    for (sent, received) in sent.iter().zip(&received) {
        assert_eq!((sent.process_key, sent.is_ready), (received.process_key, received.is_ready));
        assert!(received.age >= sent.age && received.age < sent.age + Duration::from_millis(10));
    }
    assert!(message.encoded_len() <= 75 * 11 + 16, "{} bytes", message.encoded_len());
}

#[test]
fn liveness_report_keeps_a_router_alive() {
    let mut roster = Roster::default();
    roster.record_status(member(1, true), Timestamp::ZERO);
    roster.record_status(member(2, true), Timestamp::from_millis(3_000));
    assert_eq!(ready(&roster, 3_000), ["router-2"]);
    let now = Timestamp::from_millis(3_000);
    roster.record_report(&report(&member(1, true), 500, true), now);
    assert_eq!(ready(&roster, 3_000), ["router-1", "router-2"]);
    assert_eq!(ready(&roster, 3_800), ["router-2"], "a report expires like a status message");
    roster.record_report(&report(&member(1, true), 400, false), now);
    assert_eq!(ready(&roster, 3_000), ["router-2"], "a newer report says that it leaves");
}

#[test]
fn liveness_report_of_an_earlier_process_is_ignored() {
    let mut roster = Roster::default();
    roster.record_status(member(1, true), Timestamp::ZERO);
    let now = Timestamp::from_millis(3_000);
    let earlier = Member { process: 99, ..member(1, true) };
    roster.record_report(&report(&earlier, 0, true), now);
    roster.record_status(member(2, true), now);
    assert_eq!(ready(&roster, 3_000), ["router-2"]);
}

#[test]
fn listed_routers_are_candidates_only_if_included() {
    let mut roster = Roster::default();
    let now = Timestamp::from_millis(100);
    roster.add_listed(member(1, true), now);
    roster.record_status(member(2, true), now);
    roster.record_status(member(3, false), now);
    let names = |include_listed: bool| {
        let candidates = roster.holder_candidates(include_listed, now);
        let mut names: Vec<String> = candidates.iter().map(|it| it.name.to_string()).collect();
        names.sort();
        names
    };
    assert_eq!(names(true), ["router-1", "router-2"]);
    assert_eq!(names(false), ["router-2"]);
}

/// Guards against a process that may have drawn tokens and is forgotten because its router has restarted.
#[test]
fn recent_processes_include_those_that_were_replaced() {
    let mut roster = Roster::default();
    let at = Timestamp::from_millis;
    roster.record_status(member(1, true), at(1_000));
    roster.record_status(Member { process: 11, ..member(1, true) }, at(4_000));
    roster.record_status(member(2, true), at(5_000));
    roster.add_listed(Member { process: 22, ..member(2, true) }, at(9_000));
    let recent = |time: u64, now: u64| {
        let recent = roster.recent_processes(Duration::from_millis(time), at(now));
        let mut recent: Vec<String> = recent.iter().map(ToString::to_string).collect();
        recent.sort();
        recent.join(" ")
    };
    insta::assert_snapshot!(recent(12_000, 10_000), @"router-1/0000000000000001 router-1/000000000000000b router-2/0000000000000002 router-2/0000000000000016");
    insta::assert_snapshot!(recent(5_500, 10_000), @"router-2/0000000000000002 router-2/0000000000000016");
}
