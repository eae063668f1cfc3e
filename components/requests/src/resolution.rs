//! Resolution, by an operator, of calls whose outcome is unknown.

use platform::{Commit, Precondition, Row, Write};
use thiserror::Error;
use types::{OperatorName, RequestKey};

use crate::{IntentRow, IntentState, StoredAnswer};

/// Outcome of a call as determined by an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// The call ran; retries get this answer.
    Ran(StoredAnswer),
    /// The call did not run; a retry may run it.
    DidNotRun,
}

/// Whether the router process that recorded a call still exists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// The process has ended and cannot send the call any more.
    Ended,
    /// The process is running or paused.
    MayRun,
}

/// An intent that an operator may have to resolve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenIntent {
    /// Key of the request.
    pub request: RequestKey,
    /// Intent row as read from the table.
    pub row: Row,
    /// Decoded content of `row`.
    pub intent: IntentRow,
}

/// Why an intent cannot be resolved.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResolutionError {
    /// The row is corrupt or was written by a newer version of the program.
    #[error("the row cannot be read: {0}")]
    Unreadable(String),
    /// The outcome of the call is already known.
    #[error("the outcome of the call is already known")]
    NotOpen,
    /// The router process that recorded the call may still send it.
    #[error("router {0} may still send the call; end that process first")]
    HolderMayRun(String),
}

/// Returns the commit that resolves the intent in `row`. The commit conflicts if the row has
/// changed since it was read.
///
/// # Errors
/// If the row cannot be decoded, the outcome of the call is already known, or the call is recorded
/// and the process that recorded it may still send it.
pub fn resolve(
    row: &Row,
    resolution: Resolution,
    holder: Holder,
    operator: &OperatorName,
) -> Result<Commit, ResolutionError> {
    let mut intent =
        IntentRow::from_row(row).map_err(|error| ResolutionError::Unreadable(error.to_string()))?;
    match intent.state {
        IntentState::OutcomeUnknown => {}
        IntentState::Recorded if holder == Holder::Ended => {}
        IntentState::Recorded => {
            return Err(ResolutionError::HolderMayRun(intent.router.to_string()));
        }
        IntentState::Withdrawn | IntentState::Done(_) => return Err(ResolutionError::NotOpen),
    }
    intent.resolved_by = Some(operator.clone());
    intent.state = match resolution {
        Resolution::Ran(answer) => IntentState::Done(answer),
        Resolution::DidNotRun => IntentState::Withdrawn,
    };
    Ok(Commit {
        preconditions: vec![Precondition::Revision(row.key.clone(), row.revision)],
        writes: vec![Write::put(row.key.clone(), &intent)],
    })
}

/// Returns the open intents among `rows`, which were scanned with
/// [`INTENT_PREFIX`](crate::INTENT_PREFIX). Recorded calls count as open: they are running, or
/// their router has died.
pub fn list_open(rows: &[Row]) -> Vec<OpenIntent> {
    rows.iter().filter_map(open_intent).collect()
}

fn open_intent(row: &Row) -> Option<OpenIntent> {
    let intent = IntentRow::from_row(row).ok()?;
    let is_open = matches!(intent.state, IntentState::Recorded | IntentState::OutcomeUnknown);
    let mut parts = row.key.as_str().splitn(3, '/').skip(1);
    let account = parts.next()?.parse().ok()?;
    let id = parts.next()?.parse().ok()?;
    let request = RequestKey::new(account, id);
    is_open.then(|| OpenIntent { request, row: row.clone(), intent })
}
