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
#[path = "state_tests.rs"]
mod tests;
