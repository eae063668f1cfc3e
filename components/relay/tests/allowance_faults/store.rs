//! A simulated store: rows with revisions, commits that take effect late, and the actual number of
//! unspent tokens.

use std::collections::{BTreeMap, VecDeque};

use platform::{Commit, Key, Precondition, Revision, Row};
use relay::allowance::{AllowanceRow, HOLDINGS_PREFIX, HoldingsRow};
use utils::HashMap;

use crate::ACCOUNT;

/// A commit as a router sent it.
#[derive(Clone)]
pub(crate) struct SentCommit {
    pub(crate) commit: Commit,
    /// Process that sent it.
    pub(crate) process: u64,
    /// Tokens of the previous process that it takes over.
    pub(crate) taken_over: u64,
}

/// The store: rows with revisions, and commits that take effect late.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) rows: BTreeMap<Key, Row>,
    pub(crate) revision: u64,
    /// Commits on their way, each with the step in which it takes effect.
    pub(crate) late: Vec<(u64, SentCommit)>,
    /// Tokens that each process has drawn, borrowed or taken over and not spent, lent or returned.
    /// These are the actual numbers, which no router sees.
    pub(crate) unspent: HashMap<u64, i64>,
    /// Tokens that new processes took over.
    pub(crate) taken_over: u64,
    /// Number of times that the store has come back from an older copy.
    pub(crate) era: u64,
    /// Copies of the rows and the revision, each with the step in which it was made.
    copies: VecDeque<(u64, BTreeMap<Key, Row>, u64)>,
}

/// Number of steps for which copies of the store are kept.
const COPIES_MAX: usize = 200;

impl Store {
    pub(crate) fn commit(&mut self, sent: &SentCommit) -> Result<Revision, Key> {
        let commit = &sent.commit;
        for it in &commit.preconditions {
            let found = self.rows.get(it.key()).map(|row| row.revision);
            let holds = match it {
                Precondition::Absent(_) => found.is_none(),
                Precondition::Revision(_, revision) => found == Some(*revision),
            };
            if !holds {
                return Err(it.key().clone());
            }
        }
        self.track_moved_tokens(sent);
        self.revision += 1;
        let revision = Revision(self.revision);
        for write in &commit.writes {
            let value = write.value.clone().expect("no row is deleted in this test");
            let row = Row { key: write.key.clone(), revision, value };
            self.rows.insert(write.key.clone(), row);
        }
        Ok(revision)
    }

    /// Updates the actual numbers of unspent tokens for a commit that takes effect.
    pub(crate) fn track_moved_tokens(&mut self, sent: &SentCommit) {
        let account_key = AllowanceRow::key(ACCOUNT);
        for write in &sent.commit.writes {
            let value = write.value.clone().expect("no row is deleted in this test");
            let next = Row { key: write.key.clone(), revision: Revision(0), value };
            let before = self.rows.get(&write.key);
            if write.key == account_key {
                let drawn = |row: &Row| row.decode::<AllowanceRow>().unwrap().drawn.cast_signed();
                let delta = drawn(&next) - before.map_or(0, drawn);
                *self.unspent.entry(sent.process).or_default() += delta;
            } else if let Some(before) =
                before.filter(|it| it.key.as_str().starts_with(HOLDINGS_PREFIX))
            {
                let earlier = before.decode::<HoldingsRow>().unwrap().mark.process;
                if earlier != sent.process {
                    self.take_over(earlier, sent);
                }
            }
        }
    }

    pub(crate) fn take_over(&mut self, earlier: u64, sent: &SentCommit) {
        let unspent = self.unspent.entry(earlier).or_default();
        assert!(
            self.era > 0 || sent.taken_over.cast_signed() <= *unspent,
            "{} taken over of {unspent}",
            sent.taken_over
        );
        *unspent -= sent.taken_over.cast_signed();
        *self.unspent.entry(sent.process).or_default() += sent.taken_over.cast_signed();
        self.taken_over += sent.taken_over;
    }

    pub(crate) fn apply_late_commits(&mut self, step: u64) {
        let (due, later) = std::mem::take(&mut self.late).into_iter().partition(|it| it.0 <= step);
        self.late = later;
        for (_, commit) in due {
            let _ = self.commit(&commit);
        }
    }

    /// Makes a copy of the store.
    pub(crate) fn copy(&mut self, step: u64) {
        self.copies.push_back((step, self.rows.clone(), self.revision));
        if self.copies.len() > COPIES_MAX {
            self.copies.pop_front();
        }
    }

    /// Returns to the newest copy that is at least `age` steps old, or to the oldest one.
    pub(crate) fn return_to_copy(&mut self, age: usize) {
        self.era += 1;
        let kept = self.copies.len().saturating_sub(age).max(1);
        self.copies.truncate(kept);
        if let Some((_, rows, revision)) = self.copies.back() {
            self.rows = rows.clone();
            self.revision = *revision;
        }
    }

    pub(crate) fn rows_of(&self, prefix: &str) -> Vec<Row> {
        self.rows.values().filter(|it| it.key.as_str().starts_with(prefix)).cloned().collect()
    }
}
