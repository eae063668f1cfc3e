//! What an intent row means for a new attempt.

use platform::{Key, Precondition, Revision, Row};
use types::FencingNumber;
use utils::Digest;

use crate::{IntentRow, IntentState, StoredAnswer};

/// Row on top of which an attempt may record its call. The attempt keeps the base that it
/// was admitted with, so that a refusal written meanwhile makes its record fail.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct IntentBase {
    /// Revision of the row; `None` where there is none.
    pub revision: Option<Revision>,
    /// Fencing number of the last recorded call; zero where there is none.
    pub fencing: FencingNumber,
}

/// What an intent row means for a new attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IntentAdmission {
    /// No call was sent and none can be. The attempt may record its call.
    Free(IntentBase),
    /// The call ran; this is its answer.
    Answered(StoredAnswer),
    /// Another holder may have sent the call, or may still send it.
    Held(String),
    /// The id was used with other content.
    Reused,
}

/// Decides what `row`, as read from the table, means for an attempt with `fingerprint`.
/// A row that cannot be read is held: the call may have been sent.
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
    /// Creates the base of an id without a row.
    pub fn absent() -> IntentBase {
        IntentBase { revision: None, fencing: FencingNumber(0) }
    }

    /// Returns the precondition that the row is still the base.
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
