//! Intent rows: written before a call that must not run twice is sent.

use platform::{Key, Row, RowError};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use types::{FencingNumber, OperatorName, RequestKey, RouterId};
use utils::Digest;

use crate::StoredAnswer;

/// Prefix of the keys of all intent rows.
pub const INTENT_PREFIX: &str = "intent/";

/// Number of a write; no two writes of one router process share it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteNumber(pub u64);

/// Intent row of one non-idempotent request. It alone decides who may send the call.
///
/// The pair of `router` and `write` names the write that made the row, so that its router
/// recognises it after the answer to the commit was lost.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRow {
    /// Router process that wrote the row.
    pub router: RouterId,
    /// Number of that write.
    pub write: WriteNumber,
    /// Digest of the request's content.
    #[serde_as(as = "DisplayFromStr")]
    pub fingerprint: Digest,
    /// Fencing number of the last recorded call. Never shrinks; grows with each record.
    pub fencing: FencingNumber,
    /// State of the call.
    pub state: IntentState,
    /// Operator who resolved the row, if one did.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resolved_by: Option<OperatorName>,
}

/// State of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// Its router may have sent it, or may still send it.
    Recorded,
    /// It was not sent, and the permit to send it is void. A new attempt may record again.
    Withdrawn,
    /// It was sent and no answer came; an operator has to find out whether it ran.
    OutcomeUnknown,
    /// It ran, with this answer.
    Done(StoredAnswer),
}

impl IntentRow {
    /// Reads the intent row in `row`.
    ///
    /// # Errors
    /// Where the row is corrupt or was written by a newer version of the program.
    pub fn from_row(row: &Row) -> Result<IntentRow, RowError> {
        row.decode()
    }
}

/// Returns the key of the intent row of `request`.
pub fn intent_key(request: &RequestKey) -> Key {
    Key::from_parts(&["intent", request.account.as_str(), request.id.as_str()])
}
