//! Tests of intent rows: admission, resolution, takeover, rows that cannot be decoded, and writes
//! with unknown outcome.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;

use platform::{CommitOutcome, Key, PlatformError, Revision, Row};
use requests::{
    AbandonedWrite, AnswerBody, EndpointCheck, Holder, IntentAdmission, IntentBase, IntentRow,
    IntentState, IntentWrite, Resolution, ResolutionError, StoredAnswer, WriteNumber, WriteStep,
    admit, intent_key, list_open, may_take_over, resolve,
};
use types::{
    AccountName, FencingNumber, Incarnation, OperatorName, RequestId, RequestKey, RouterId,
    RouterName,
};
use utils::Digest;

fn key() -> Key {
    let account = AccountName::new("school").unwrap();
    intent_key(&RequestKey::new(account, RequestId::new("order-1").unwrap()))
}

fn fingerprint() -> Digest {
    Digest::from_content(b"two barrels")
}

fn intent(write: u64, state: IntentState) -> IntentRow {
    IntentRow {
        router: RouterId::new(RouterName::new("r1").unwrap(), Incarnation(7)),
        write: WriteNumber(write),
        fingerprint: fingerprint(),
        fencing: FencingNumber(3),
        state,
        resolved_by: None,
    }
}

fn row(intent: &IntentRow) -> Row {
    let value = serde_json::to_string(intent).unwrap();
    Row { key: key(), revision: Revision(5), value: value.into() }
}

fn answer() -> StoredAnswer {
    StoredAnswer {
        status: 200,
        content_type: "application/json".into(),
        body: AnswerBody::from_bytes(b"{}"),
        finish_reason: None,
        prompt_tokens: 0,
        completion_tokens: 10,
    }
}

#[test]
fn row_decides_what_a_new_attempt_may_do() {
    let states = [
        IntentState::Recorded,
        IntentState::Withdrawn,
        IntentState::OutcomeUnknown,
        IntentState::Done(answer()),
    ];
    let admitted = states.map(|state| admit(Some(&row(&intent(1, state))), &fingerprint()));
    let base = IntentBase { revision: Some(Revision(5)), fencing: FencingNumber(3) };
    assert!(matches!(admitted[0], IntentAdmission::Held(_)));
    assert_eq!(admitted[1], IntentAdmission::Free(base));
    assert!(matches!(admitted[2], IntentAdmission::Held(_)));
    assert_eq!(admitted[3], IntentAdmission::Answered(answer()));
    let other = Digest::from_content(b"three barrels");
    let withdrawn = row(&intent(1, IntentState::Withdrawn));
    assert_eq!(admit(Some(&withdrawn), &other), IntentAdmission::Reused);
}

#[test]
fn undecodable_row_counts_as_recorded() {
    let newer_version = r#"{"router":{"name":"r1","incarnation":1},"state":"sent_twice"}"#;
    for text in ["", "7", "{}", newer_version] {
        let row = Row { key: key(), revision: Revision(1), value: Arc::from(text) };
        assert!(matches!(admit(Some(&row), &fingerprint()), IntentAdmission::Held(_)), "{text}");
        assert!(list_open(std::slice::from_ref(&row)).is_empty());
        let operator = OperatorName::new("admin").unwrap();
        let resolved = resolve(&row, Resolution::DidNotRun, Holder::Ended, &operator);
        assert!(matches!(resolved, Err(ResolutionError::Unreadable(_))));
    }
}

#[test]
fn only_open_intents_are_resolved_and_only_once_their_holder_cannot_send() {
    let operator = OperatorName::new("admin").unwrap();
    let resolve_state =
        |state, holder| resolve(&row(&intent(1, state)), Resolution::DidNotRun, holder, &operator);
    let may_run = resolve_state(IntentState::Recorded, Holder::MayRun);
    assert_eq!(may_run, Err(ResolutionError::HolderMayRun("r1/7".to_owned())));
    assert!(resolve_state(IntentState::Recorded, Holder::Ended).is_ok());
    assert!(resolve_state(IntentState::OutcomeUnknown, Holder::MayRun).is_ok());
    for state in [IntentState::Withdrawn, IntentState::Done(answer())] {
        assert_eq!(resolve_state(state, Holder::Ended), Err(ResolutionError::NotOpen));
    }
}

#[test]
fn take_over_needs_an_endpoint_that_knows_the_ids_it_has_run() {
    let recorded = intent(1, IntentState::Recorded);
    assert!(!may_take_over(&recorded, EndpointCheck::Nothing));
    assert!(!may_take_over(&recorded, EndpointCheck::FencingNumbers));
    assert!(may_take_over(&recorded, EndpointCheck::FencingNumbersAndRequestIds));
    let done = intent(1, IntentState::Done(answer()));
    assert!(!may_take_over(&done, EndpointCheck::FencingNumbersAndRequestIds));
}

#[test]
fn unknown_commit_is_read_back_and_stays_possible_until_the_row_changes() {
    let own = intent(4, IntentState::Recorded);
    let mut write = IntentWrite::new(key(), own.clone(), IntentBase::absent());
    let not_applied = CommitOutcome::NotApplied(PlatformError::Unavailable);
    assert_eq!(write.on_commit(&not_applied), WriteStep::Commit);
    assert_eq!(write.abandon(), AbandonedWrite::NeverWritten);
    assert_eq!(write.on_commit(&CommitOutcome::Unknown), WriteStep::Read);
    assert_eq!(write.on_read(None), WriteStep::Commit);
    assert_eq!(write.abandon(), AbandonedWrite::MayBeWritten);
    assert_eq!(write.on_commit(&CommitOutcome::Conflict(key())), WriteStep::Read);
    assert_eq!(write.on_read(Some(&row(&own))), WriteStep::Written(Revision(5)));
    let other = row(&intent(9, IntentState::Recorded));
    assert_eq!(write.on_read(Some(&other)), WriteStep::Superseded(Some(other.clone())));
    assert_eq!(write.abandon(), AbandonedWrite::NeverWritten);
}
