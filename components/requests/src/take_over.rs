//! Take-over of another router's intent.

use crate::{IntentRow, IntentState};

/// What the endpoint of a call checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointCheck {
    /// Nothing.
    Nothing,
    /// It refuses a call with a lower fencing number than one it has seen for the same
    /// request id.
    FencingNumbers,
    /// It also refuses a second call of a request id that it has run.
    FencingNumbersAndRequestIds,
}

/// Tells whether another router may record and send the call of `row` under the next
/// fencing number.
///
/// A fencing number keeps the first holder from sending late, but does not undo a call
/// that has run already and whose answer was lost. So the endpoint must also know the ids
/// that it has run.
pub fn may_take_over(row: &IntentRow, check: EndpointCheck) -> bool {
    let is_open = matches!(row.state, IntentState::Recorded | IntentState::OutcomeUnknown);
    is_open && check == EndpointCheck::FencingNumbersAndRequestIds
}
