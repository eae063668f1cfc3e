//! Resolution of calls whose outcome is not known, by an operator.

use platform::{Commit, Precondition, Row, Write};
use thiserror::Error;
use types::{OperatorName, RequestKey};

use crate::{IntentRow, IntentState, StoredAnswer};

/// What an operator has found out about a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Resolution {
    /// It ran; retries get this answer.
    Ran(StoredAnswer),
    /// It did not run; a retry may run it.
    DidNotRun,
}

/// What is known of the router process that recorded a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Holder {
    /// The process has ended: it cannot send the call any more.
    Ended,
    /// The process runs or is paused.
    MayRun,
}

/// An intent that an operator may have to resolve.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OpenIntent {
    /// Key of the request.
    pub request: RequestKey,
    /// Row as it was read.
    pub row: Row,
    /// Content of the row.
    pub intent: IntentRow,
}

/// Why an intent cannot be resolved.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ResolutionError {
    /// The row cannot be read by this version of the program.
    #[error("the row cannot be read: {0}")]
    Unreadable(String),
    /// The outcome of the call is known already.
    #[error("the outcome of the call is known already")]
    NotOpen,
    /// The router that recorded the call may still send it.
    #[error("router {0} may still send the call; end that process first")]
    HolderMayRun(String),
}

/// Returns the commit that resolves the intent in `row`. It conflicts where the row has
/// changed since it was read.
///
/// # Errors
/// Where the row is not open, or where the call is said not to have run while its holder
/// may still send it.
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
/// [`INTENT_PREFIX`](crate::INTENT_PREFIX). Recorded calls are open too: they run now, or
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
