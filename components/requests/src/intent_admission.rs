//! Admission of new attempts by their intent row.

use platform::{Key, Precondition, Revision, Row};
use types::FencingNumber;
use utils::Digest;

use crate::{IntentRow, IntentState, StoredAnswer};

/// State of an intent row on top of which an attempt may record its call. An attempt keeps the base
/// that it was admitted with, so it can no longer record its call once a refusal has been written
/// to the row.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IntentBase {
    /// Revision of the row; `None` if there is no row.
    pub revision: Option<Revision>,
    /// Fencing number of the last recorded call; zero if there is none.
    pub fencing: FencingNumber,
}

/// What an intent row allows a new attempt to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IntentAdmission {
    /// No call was sent, and none can still be sent. The attempt may record its call.
    Free(IntentBase),
    /// The call ran with this answer.
    Answered(StoredAnswer),
    /// Another attempt may have sent the call, or may still send it. Contains the reason.
    Held(String),
    /// The request id was already used with other content.
    Reused,
}

/// Decides what `row` allows an attempt with `fingerprint` to do; `None` stands for a missing row.
/// A row that cannot be decoded counts as held, because its call may have been sent.
pub fn admit(row: Option<&Row>, fingerprint: &Digest) -> IntentAdmission {
    let Some(row) = row else { return IntentAdmission::Free(IntentBase::absent()) };
    let intent = match IntentRow::from_row(row) {
        Ok(intent) => intent,
        Err(error) => return IntentAdmission::Held(error.to_string()),
    };
    if intent.fingerprint != *fingerprint {
        return IntentAdmission::Reused;
    }
    match intent.state {
        IntentState::Withdrawn => IntentAdmission::Free(IntentBase {
            revision: Some(row.revision),
            fencing: intent.fencing,
        }),
        IntentState::Done(answer) => IntentAdmission::Answered(answer),
        IntentState::Recorded => {
            IntentAdmission::Held(format!("router {} recorded the call", intent.router))
        }
        IntentState::OutcomeUnknown => {
            let message = format!("router {} sent the call and got no answer", intent.router);
            IntentAdmission::Held(message)
        }
    }
}

impl IntentBase {
    /// Returns the base of a request id without an intent row.
    pub fn absent() -> IntentBase {
        IntentBase { revision: None, fencing: FencingNumber(0) }
    }

    /// Returns the precondition that the row has not changed since the base was read.
    pub fn precondition(&self, key: &Key) -> Precondition {
        match self.revision {
            Some(revision) => Precondition::Revision(key.clone(), revision),
            None => Precondition::Absent(key.clone()),
        }
    }

    /// Returns the fencing number of the next recorded call.
    pub fn next_fencing(&self) -> FencingNumber {
        FencingNumber(self.fencing.0.saturating_add(1))
    }
}
