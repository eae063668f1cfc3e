//! Permits to send a non-idempotent call.

use platform::Revision;
use requests::IntentRow;
use types::{FencingNumber, RequestKey};

/// Permit to send one non-idempotent call.
#[derive(Debug, PartialEq, Eq)]
pub struct IntentPermit {
    /// Key of the request.
    pub key: RequestKey,
    /// Revision of its intent row.
    pub revision: Revision,
    /// Fencing number that is sent with the call, for endpoints that check it.
    pub fencing: FencingNumber,
    /// Intent row as it was recorded.
    pub row: IntentRow,
}
