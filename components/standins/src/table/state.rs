//! Rows of the table and the rules of commits.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use platform::{
    COMMIT_MAX_WRITES, Commit, CommitOutcome, Key, PlatformError, Precondition, Revision, Row,
    SCAN_MAX_ROWS,
};

/// Rows of the table. Calls take effect immediately and in order.
#[derive(Debug, Default)]
pub struct TableState {
    /// Revision and value of each row, by key.
    rows: BTreeMap<Key, (Revision, Arc<str>)>,
    /// Revision of the last commit; 0 before the first.
    last_revision: u64,
}

impl TableState {
    /// Returns a row, or `None` if there is no row with `key`.
    pub fn read(&self, key: &Key) -> Option<Row> {
        let (revision, value) = self.rows.get(key)?;
        Some(Row { key: key.clone(), revision: *revision, value: value.clone() })
    }

    /// Returns at most [`SCAN_MAX_ROWS`] rows whose keys start with `prefix` and come after
    /// `after`, ordered by key.
    pub fn scan(&self, prefix: &str, after: Option<&Key>) -> Vec<Row> {
        let start = match (after, Key::new(prefix)) {
            (Some(key), Ok(first)) if *key >= first => Bound::Excluded(key.clone()),
            (_, Ok(first)) => Bound::Included(first),
            (Some(key), Err(_)) => Bound::Excluded(key.clone()),
            (None, Err(_)) => Bound::Unbounded,
        };
        self.rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.as_str().starts_with(prefix))
            .take(SCAN_MAX_ROWS)
            .map(|(key, (revision, value))| Row {
                key: key.clone(),
                revision: *revision,
                value: value.clone(),
            })
            .collect()
    }

    /// Applies `commit` if all of its preconditions hold. A commit with more than
    /// [`COMMIT_MAX_WRITES`] writes is not applied.
    pub fn commit(&mut self, commit: &Commit) -> CommitOutcome {
        if commit.writes.len() > COMMIT_MAX_WRITES {
            let message = format!("more than {COMMIT_MAX_WRITES} writes");
            return CommitOutcome::NotApplied(PlatformError::Malformed(message));
        }
        if let Some(failed) = commit.preconditions.iter().find(|it| !self.holds(it)) {
            return CommitOutcome::Conflict(failed.key().clone());
        }
        self.last_revision += 1;
        let revision = Revision(self.last_revision);
        for write in &commit.writes {
            match &write.value {
                Some(value) => {
                    self.rows.insert(write.key.clone(), (revision, value.clone()));
                }
                None => {
                    self.rows.remove(&write.key);
                }
            }
        }
        CommitOutcome::Committed(revision)
    }

    fn holds(&self, precondition: &Precondition) -> bool {
        let found = self.rows.get(precondition.key()).map(|(revision, _)| *revision);
        match precondition {
            Precondition::Absent(_) => found.is_none(),
            Precondition::Revision(_, expected) => found == Some(*expected),
        }
    }
}

#[cfg(test)]
mod tests {
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
}
