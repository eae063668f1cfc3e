//! Intent rows, which are written before a call that must not run twice is sent.

use platform::{Key, Row, RowError};
use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, serde_as};
use types::{FencingNumber, OperatorName, RequestKey, RouterId};
use utils::Digest;

use crate::StoredAnswer;

/// Prefix of the keys of all intent rows.
pub const INTENT_PREFIX: &str = "intent/";

/// Number of a write, unique within the router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteNumber(pub u64);

/// Intent row of one non-idempotent request. Only this row decides who may send the call.
///
/// `router` and `write` together identify the write that produced the row, so that a router can
/// recognise its own write after the answer to the commit was lost.
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
    /// Fencing number of the last recorded call. Increases with each recorded call and never
    /// decreases.
    pub fencing: FencingNumber,
    /// State of the call.
    pub state: IntentState,
    /// Operator who resolved the row, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resolved_by: Option<OperatorName>,
}

/// State of a non-idempotent call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The router may have sent the call, or may still send it.
    Recorded,
    /// The call was not sent and the permission to send it is revoked. A new attempt may record the
    /// call again.
    Withdrawn,
    /// The call was sent but no answer arrived. An operator has to find out whether it ran.
    OutcomeUnknown,
    /// The call ran with this answer.
    Done(StoredAnswer),
}

impl IntentRow {
    /// Decodes an intent row.
    ///
    /// # Errors
    /// If the row is corrupt or was written by a newer version of the program.
    pub fn from_row(row: &Row) -> Result<IntentRow, RowError> {
        row.decode()
    }
}

/// Returns the key of the intent row of `request`.
pub fn intent_key(request: &RequestKey) -> Key {
    Key::from_parts(&["intent", request.account.as_str(), request.id.as_str()])
}
