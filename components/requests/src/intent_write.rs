//! Writes of intent rows, with read-back of unknown commits.

use platform::{Commit, CommitOutcome, Key, Revision, Row, Write};

use crate::{IntentBase, IntentRow};

/// One write of an intent row, until it is known whether it took effect.
///
/// The caller carries out each [`WriteStep`] and passes the result in. A commit whose
/// answer was lost may take effect at any later time; committing the same write again is
/// safe, since both have the same precondition and only one of them can hold.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IntentWrite {
    /// Key of the row.
    key: Key,
    /// Row that is written.
    row: IntentRow,
    /// Row that it replaces.
    base: IntentBase,
    /// Whether a commit may have taken effect, or may still do so.
    may_be_applied: bool,
}

/// What is to be done next for a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStep {
    /// Commit [`IntentWrite::commit`] (again).
    Commit,
    /// Read the row.
    Read,
    /// The write took effect with this revision.
    Written(Revision),
    /// Another write came first; this one did not take effect and cannot any more. Holds
    /// the row as it is now.
    Superseded(Option<Row>),
}

/// What is known of a write that was given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AbandonedWrite {
    /// It did not take effect, and will not.
    NeverWritten,
    /// It may have taken effect, or may still do so.
    MayBeWritten,
}

impl IntentWrite {
    /// Creates the write of `row` over `base`.
    pub fn new(key: Key, row: IntentRow, base: IntentBase) -> IntentWrite {
        IntentWrite { key, row, base, may_be_applied: false }
    }

    /// Returns the key of the row.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns the row that is written.
    pub fn row(&self) -> &IntentRow {
        &self.row
    }

    /// Returns the commit of the write.
    pub fn commit(&self) -> Commit {
        Commit {
            preconditions: vec![self.base.precondition(&self.key)],
            writes: vec![Write::put(self.key.clone(), &self.row)],
        }
    }

    /// Takes the outcome of a commit.
    pub fn on_commit(&mut self, outcome: &CommitOutcome) -> WriteStep {
        match outcome {
            CommitOutcome::Committed(revision) => WriteStep::Written(*revision),
            CommitOutcome::NotApplied(_) if self.may_be_applied => WriteStep::Read,
            CommitOutcome::NotApplied(_) => WriteStep::Commit,
            // An earlier commit of this write may be what it conflicts with.
            CommitOutcome::Conflict(_) => WriteStep::Read,
            CommitOutcome::Unknown => {
                self.may_be_applied = true;
                WriteStep::Read
            }
        }
    }

    /// Takes the row as it was read back.
    pub fn on_read(&mut self, row: Option<&Row>) -> WriteStep {
        if let Some(row) = row.filter(|row| self.is_own(row)) {
            return WriteStep::Written(row.revision);
        }
        if row.map(|row| row.revision) == self.base.revision {
            return WriteStep::Commit;
        }
        self.may_be_applied = false;
        WriteStep::Superseded(row.cloned())
    }

    /// Gives the write up, after a failed step.
    pub fn give_up(&self) -> AbandonedWrite {
        if self.may_be_applied {
            AbandonedWrite::MayBeWritten
        } else {
            AbandonedWrite::NeverWritten
        }
    }

    fn is_own(&self, row: &Row) -> bool {
        IntentRow::from_row(row)
            .is_ok_and(|it| it.router == self.row.router && it.write == self.row.write)
    }
}
