//! Writes of intent rows, which are read back if the outcome of a commit is unknown.

use platform::{Commit, CommitOutcome, Key, Revision, Row, Write};

use crate::{IntentBase, IntentRow};

/// One write of an intent row, until its outcome is known.
///
/// The caller carries out each [`WriteStep`] and passes in its result. A commit whose answer was
/// lost may still take effect at any later time. Committing the same write again is safe, because
/// all its commits have the same precondition, which can hold for only one of them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IntentWrite {
    /// Key of the row.
    key: Key,
    /// Row to write.
    row: IntentRow,
    /// Row that the write replaces.
    base: IntentBase,
    /// Whether a commit may have taken effect or may still take effect.
    may_be_applied: bool,
}

/// Next step of a write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteStep {
    /// Commit [`IntentWrite::commit`], possibly not for the first time.
    Commit,
    /// Read the row and pass it to [`IntentWrite::on_read`].
    Read,
    /// The write took effect and the row has this revision.
    Written(Revision),
    /// Another write came first, so this one did not and cannot take effect. Contains the current
    /// row.
    Superseded(Option<Row>),
}

/// What is known of a write that was abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AbandonedWrite {
    /// The write did not and will not take effect.
    NeverWritten,
    /// The write may have taken effect or may still take effect.
    MayBeWritten,
}

impl IntentWrite {
    /// Creates the write of `row` on top of `base`.
    pub fn new(key: Key, row: IntentRow, base: IntentBase) -> IntentWrite {
        IntentWrite { key, row, base, may_be_applied: false }
    }

    /// Returns the key of the row.
    pub fn key(&self) -> &Key {
        &self.key
    }

    /// Returns the row to write.
    pub fn row(&self) -> &IntentRow {
        &self.row
    }

    /// Returns the commit that performs the write.
    pub fn commit(&self) -> Commit {
        Commit {
            preconditions: vec![self.base.precondition(&self.key)],
            writes: vec![Write::put(self.key.clone(), &self.row)],
        }
    }

    /// Handles the outcome of a commit.
    pub fn on_commit(&mut self, outcome: &CommitOutcome) -> WriteStep {
        match outcome {
            CommitOutcome::Committed(revision) => WriteStep::Written(*revision),
            CommitOutcome::NotApplied(_) if self.may_be_applied => WriteStep::Read,
            CommitOutcome::NotApplied(_) => WriteStep::Commit,
            // The conflict may be with an earlier commit of this write.
            CommitOutcome::Conflict(_) => WriteStep::Read,
            CommitOutcome::Unknown => {
                self.may_be_applied = true;
                WriteStep::Read
            }
        }
    }

    /// Handles the row that was read back; `None` if there is no row.
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

    /// Returns what is known of the write when the caller abandons it after a failed step.
    pub fn abandon(&self) -> AbandonedWrite {
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
