//! Tests of `state`.

use platform::Write;

use super::*;

fn key(text: &str) -> Key {
    Key::new(text).unwrap()
}

fn put(text: &str, preconditions: Vec<Precondition>) -> Commit {
    Commit { preconditions, writes: vec![Write::put(key(text), &1)] }
}

#[test]
fn commit_takes_effect_only_if_all_preconditions_hold() {
    let mut state = TableState::default();
    let insert = put("a", vec![Precondition::Absent(key("a"))]);
    assert_eq!(state.commit(&insert), CommitOutcome::Committed(Revision(1)));
    assert_eq!(state.commit(&insert), CommitOutcome::Conflict(key("a")));
    let holds = Precondition::Revision(key("a"), Revision(1));
    let fails = Precondition::Revision(key("b"), Revision(1));
    let both = put("c", vec![holds.clone(), fails]);
    assert_eq!(state.commit(&both), CommitOutcome::Conflict(key("b")));
    assert_eq!(state.read(&key("c")), None);
    assert_eq!(state.commit(&put("a", vec![holds])), CommitOutcome::Committed(Revision(2)));
}

#[test]
fn scan_returns_only_its_prefix_and_continues_after_a_key() {
    let mut state = TableState::default();
    for name in ["a/1", "b/1", "b/2", "b/3", "c/1"] {
        state.commit(&put(name, Vec::new()));
    }
    let keys = |rows: Vec<Row>| rows.iter().map(|row| row.key.to_string()).collect::<Vec<_>>();
    assert_eq!(keys(state.scan("b/", None)), ["b/1", "b/2", "b/3"]);
    assert_eq!(keys(state.scan("b/", Some(&key("b/2")))), ["b/3"]);
    assert_eq!(keys(state.scan("b/", Some(&key("a/9")))), ["b/1", "b/2", "b/3"]);
}
