//! Messages and rows as builds since d6881f2 write them. Routers of two builds run side by side while one
//! replaces the other, so a field keeps its tag, its type and its meaning; new fields get new tags.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;

use prost::Message;
use relay::{
    allowance::{AllowanceRow, Holding, HoldingsRow, RouterProcess, WitnessDeclaration},
    peers::{
        AdmissionEndMessage, AdmissionReplyMessage, AdmissionRequestMessage, BrittleMessage,
        DeclarationMessage, EvidenceMessage, LivenessMessage, LoadMessage, LoanMessage,
        OriginMessage, OriginQueryMessage, OriginReplyMessage, PeerContent, PeerMessage,
        RateMessage, StatementMessage, StatusMessage,
    },
};
use serde::Deserialize;

fn status() -> StatusMessage {
    StatusMessage {
        name: "r-1".to_owned(),
        process: 7,
        caller_address: "10.1.0.1:80".to_owned(),
        peer_address: "10.1.0.1:81".to_owned(),
        failure_domain: "zlin".to_owned(),
        is_ready: true,
        config_version: 9,
        loads: vec![LoadMessage {
            endpoint: "i-1".to_owned(),
            requests: 2,
            prompt_tokens: 300,
            memory_tokens: 400,
        }],
        wants_answer: true,
        liveness: Some(LivenessMessage { keys: vec![5], ages: vec![6], are_ready: vec![true] }),
        processor_millis: 250,
        arrivals_per_s: 30,
        statements: vec![StatementMessage {
            endpoint: "i-1".to_owned(),
            started_at_ms: 11,
            rate: Some(RateMessage { per_s: Some(2.0), age_ms: 3 }),
            is_leaving: true,
            brittleness: Some(BrittleMessage {
                refusals_max: Some(4),
                age_ms: 5,
                refusal_age_ms: Some(6),
                begin_age_ms: 7,
            }),
        }],
        evidence: vec![EvidenceMessage {
            key: 1,
            depth: 2,
            part: 3,
            account: 4,
            crashes: vec![5],
            crash_ages_ms: vec![6],
            survivals: 7,
            trials: 8,
            tested_age_ms: 9,
        }],
        cut_off_services: vec!["svc".to_owned()],
        ..StatusMessage::default()
    }
}

fn loan() -> LoanMessage {
    LoanMessage {
        number: 1,
        account: "school".to_owned(),
        tokens: 200,
        for_borrower: true,
        spent: 3,
        undrawn: 4,
        held: None,
    }
}

fn declaration() -> DeclarationMessage {
    let declarer = RouterProcess { router: "r-1".into(), process: 7 };
    let kept = BTreeMap::from([("school".into(), 500)]);
    let declaration =
        WitnessDeclaration { number: 2, last_commit: 3, kept, ..WitnessDeclaration::default() };
    let message = DeclarationMessage::new(&declarer, &declaration);
    let message = message.with_witness(&RouterProcess { router: "r-2".into(), process: 8 });
    DeclarationMessage { is_forgotten: true, ..message }
}

fn contents() -> Vec<PeerContent> {
    let origin =
        OriginMessage { key: 1, attempt: 2, service: "svc".to_owned(), version: "v1".to_owned() };
    let admission = AdmissionRequestMessage {
        number: 1,
        endpoint: "i-1".to_owned(),
        started_at_ms: 11,
        router: "r-1".to_owned(),
        fill_share: 0.5,
    };
    vec![
        PeerContent::Status(Box::new(status())),
        PeerContent::LoanRequest(loan()),
        PeerContent::Loan(loan()),
        PeerContent::Declaration(declaration()),
        PeerContent::DeclarationAck(declaration()),
        PeerContent::DeclarationQuery(declaration()),
        PeerContent::DeclarationReply(declaration()),
        PeerContent::LoanReturn(loan()),
        PeerContent::Origin(origin.clone()),
        PeerContent::OriginQuery(OriginQueryMessage {
            number: 1,
            key: 2,
            service: "svc".to_owned(),
        }),
        PeerContent::OriginReply(OriginReplyMessage {
            number: 1,
            origin: Some(origin.clone()),
            versions: vec!["v1".to_owned()],
            is_complete: true,
        }),
        PeerContent::AdmissionRequest(admission),
        PeerContent::AdmissionReply(AdmissionReplyMessage {
            number: 1,
            endpoint: "i-1".to_owned(),
            is_admitted: true,
            closed_ms: 2,
        }),
        PeerContent::AdmissionEnd(AdmissionEndMessage {
            number: 1,
            endpoint: "i-1".to_owned(),
            is_refused: true,
        }),
        PeerContent::BegunStream(origin),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|it| format!("{it:02x}")).collect()
}

/// Guards against a tag or a type that changes, or a removed field's tag that is used again.
#[test]
fn messages_have_the_bytes_of_earlier_builds() {
    let messages = contents().into_iter().map(|it| PeerMessage { content: Some(it) });
    let lines: Vec<String> = messages.map(|it| hex(&it.encode_to_vec())).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a message that an earlier build takes for malformed because of a field it does not
/// know, and against a kind of message that ends the receiver.
#[test]
fn unknown_fields_and_kinds_are_skipped() {
    let mut bytes = PeerMessage { content: Some(PeerContent::Loan(loan())) }.encode_to_vec();
    // Field 99 of the enclosing message.
    bytes.extend([0x9a, 0x06, 0x01, 0x00]);
    let read = PeerMessage::decode(&bytes[..]).unwrap();
    assert_eq!(read.content, Some(PeerContent::Loan(loan())));
    assert_eq!(PeerMessage::decode(&[0x9a, 0x06, 0x01, 0x00][..]).unwrap().content, None);
}

/// Guards against rows of earlier builds that can no longer be read.
#[test]
fn rows_of_earlier_builds_are_read() {
    let account = r#"{"drawn":30,"spent":20,"limit_version":4}"#;
    let account: AllowanceRow = serde_json::from_str(account).unwrap();
    assert_eq!(account, AllowanceRow { drawn: 30, spent: 20, limit_version: 4 });
    let holdings = r#"{"mark":{"process":7,"number":2},"known_store_ms":77000,
        "witnesses":[{"router":"r-2","process":8}],"accounts":{"school":{"held":50,"ceiling":10}}}"#;
    let holdings: HoldingsRow = serde_json::from_str(holdings).unwrap();
    insta::assert_debug_snapshot!(holdings);
    assert_eq!(holdings.kept(), [("school".into(), 40)]);
}

/// The row of a router as d6881f2 reads it.
#[derive(Debug, Deserialize)]
#[allow(dead_code, reason = "the fields are read by their names in the row")]
struct EarlierHoldingsRow {
    mark: BTreeMap<String, u64>,
    known_store_ms: Option<u64>,
    witnesses: Vec<RouterProcess>,
    accounts: BTreeMap<String, BTreeMap<String, u64>>,
}

/// Guards against rows that earlier builds cannot read.
#[test]
fn earlier_builds_read_the_rows_of_this_one() {
    let witnesses = vec![RouterProcess { router: "r-2".into(), process: 8 }];
    let holding =
        Holding { held: 50, ceiling: 10, start: Some(4), per_second: 2, later_per_second: 6 };
    let row = HoldingsRow {
        witnesses,
        unwitnessed_ms: Some(3_200),
        cap_ms: Some(6_000),
        accounts: [("school".into(), holding)].into_iter().collect(),
        ..HoldingsRow::default()
    };
    let text = serde_json::to_string(&row).unwrap();
    let read: EarlierHoldingsRow = serde_json::from_str(&text).unwrap();
    assert_eq!(read.witnesses, row.witnesses);
    assert_eq!(read.accounts["school"]["ceiling"], 10);
    insta::assert_snapshot!(text);
}
