//! Tests of `table`.

use std::collections::BTreeSet;

use super::*;

#[test]
fn list_of_kinds_is_complete_and_codes_differ() {
    let codes: BTreeSet<_> = ErrorKind::ALL.iter().map(|kind| kind.code()).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
    assert_eq!(ErrorKind::ALL.len(), ErrorKind::Internal as usize + 1);
}

#[test]
fn kinds_have_a_retry_delay_exactly_if_they_allow_a_retry() {
    for kind in ErrorKind::ALL {
        let entry = kind.entry();
        assert_eq!(entry.may_retry_same_id, entry.retry_delay > NO_RETRY, "{kind:?}");
    }
}

#[test]
fn table_of_answers() {
    insta::assert_snapshot!(ErrorKind::ALL.iter().map(describe).collect::<String>());
}

fn describe(kind: &ErrorKind) -> String {
    let entry = kind.entry();
    format!(
        "{:24} {} {:9?} retry={} delay={:?}\n",
        entry.code, entry.status, entry.ran, entry.may_retry_same_id, entry.retry_delay
    )
}
