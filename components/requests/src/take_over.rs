//! Takeover of another router's intent.

use crate::{IntentRow, IntentState};

/// Which checks the endpoint of a call performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointCheck {
    /// No checks.
    Nothing,
    /// Rejects a call with a lower fencing number than the highest one received for the same
    /// request id.
    FencingNumbers,
    /// Also rejects a second call of a request id that it has already run.
    FencingNumbersAndRequestIds,
}

/// Returns whether another router may record and send the call of `row` with the next fencing
/// number.
///
/// A fencing number prevents the first holder from sending the call late. It does not help if the
/// call has already run and its answer was lost, so the endpoint must also know the request ids
/// that it has run.
pub fn may_take_over(row: &IntentRow, check: EndpointCheck) -> bool {
    let is_open = matches!(row.state, IntentState::Recorded | IntentState::OutcomeUnknown);
    is_open && check == EndpointCheck::FencingNumbersAndRequestIds
}
