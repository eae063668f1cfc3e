//! Who takes new callers.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test ends where it cannot go on, and its numbers are small"
)]

use std::{sync::Arc, time::Duration};

use prost::Message as _;
use relay::peers::{Heard, HeardMessage, Member, Roster, process_key};
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
    }
}

fn ready(roster: &Roster, millis: u64) -> Vec<String> {
    let members = roster.ready_members(Timestamp::from_millis(millis));
    let mut names: Vec<String> = members.iter().map(|it| it.name.to_string()).collect();
    names.sort();
    names
}

#[test]
fn silent_and_leaving_routers_get_no_callers() {
    let mut roster = Roster::default();
    for number in 1..=3 {
        roster.hear(member(number, true), Timestamp::ZERO);
    }
    assert_eq!(ready(&roster, 500).len(), 3);
    roster.hear(member(1, true), Timestamp::from_millis(2_000));
    roster.hear(member(2, false), Timestamp::from_millis(2_000));
    assert_eq!(ready(&roster, 2_100), ["router-1"]);
}

#[test]
fn router_that_hears_nobody_still_names_the_others() {
    let mut roster = Roster::default();
    roster.hear(member(1, true), Timestamp::ZERO);
    assert_eq!(ready(&roster, 5_000), ["router-1"]);
    roster.expire(Timestamp::from_millis(25_000));
    assert!(ready(&roster, 25_000).is_empty());
}

#[test]
fn row_of_the_table_does_not_overrule_what_was_heard() {
    let mut roster = Roster::default();
    roster.hear(member(1, false), Timestamp::ZERO);
    roster.name(member(1, true), Timestamp::from_millis(100));
    assert!(ready(&roster, 100).is_empty());
}

fn heard(member: &Member, age_ms: u64, is_ready: bool) -> Heard {
    Heard { process_key: process_key(member), age: Duration::from_millis(age_ms), is_ready }
}

#[test]
fn what_was_heard_survives_its_message_and_gets_no_younger() {
    let sent: Vec<Heard> =
        (1..=75_u8).map(|it| heard(&member(it, true), u64::from(it) * 7, it % 2 == 0)).collect();
    let message = HeardMessage::new(sent.iter().copied());
    let received = HeardMessage::decode(&*message.encode_to_vec()).unwrap().heard();
    assert_eq!(received.len(), sent.len());
    for (sent, received) in sent.iter().zip(&received) {
        assert_eq!((sent.process_key, sent.is_ready), (received.process_key, received.is_ready));
        assert!(received.age >= sent.age && received.age < sent.age + Duration::from_millis(10));
    }
    assert!(message.encoded_len() <= 75 * 11 + 16, "{} bytes", message.encoded_len());
}

#[test]
fn what_others_heard_keeps_a_router_alive() {
    let mut roster = Roster::default();
    roster.hear(member(1, true), Timestamp::ZERO);
    roster.hear(member(2, true), Timestamp::from_millis(3_000));
    assert_eq!(ready(&roster, 3_000), ["router-2"]);
    let now = Timestamp::from_millis(3_000);
    roster.hear_of(&heard(&member(1, true), 500, true), now);
    assert_eq!(ready(&roster, 3_000), ["router-1", "router-2"]);
    assert_eq!(ready(&roster, 3_800), ["router-2"], "news ages like a message of its own");
    roster.hear_of(&heard(&member(1, true), 400, false), now);
    assert_eq!(ready(&roster, 3_000), ["router-2"], "it leaves");
}

#[test]
fn news_of_an_earlier_process_changes_nothing() {
    let mut roster = Roster::default();
    roster.hear(member(1, true), Timestamp::ZERO);
    let now = Timestamp::from_millis(3_000);
    let earlier = Member { process: 99, ..member(1, true) };
    roster.hear_of(&heard(&earlier, 0, true), now);
    roster.hear(member(2, true), now);
    assert_eq!(ready(&roster, 3_000), ["router-2"]);
}

#[test]
fn routers_that_the_table_names_are_candidates_only_while_a_process_is_new() {
    let mut roster = Roster::default();
    let now = Timestamp::from_millis(100);
    roster.name(member(1, true), now);
    roster.hear(member(2, true), now);
    roster.hear(member(3, false), now);
    let names = |with_named: bool| {
        let candidates = roster.holder_candidates(with_named, now);
        let mut names: Vec<String> = candidates.iter().map(|it| it.name.to_string()).collect();
        names.sort();
        names
    };
    assert_eq!(names(true), ["router-1", "router-2"]);
    assert_eq!(names(false), ["router-2"]);
}
