//! Bill rows of the table.

use platform::Key;
use serde::{Deserialize, Serialize};
use types::{RequestKey, RouterId, Tokens};

/// Bill of one request. The row is inserted only if it is absent, so each request is billed at most
/// once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bill {
    /// Billed request.
    pub request: RequestKey,
    /// Number of billed tokens.
    pub tokens: Tokens,
    /// Router that ran the request.
    pub router: RouterId,
}

/// Returns the key of the row that holds the bill of `request`.
pub fn bill_key(request: &RequestKey) -> Key {
    Key::from_parts(&["bill", request.account.as_str(), request.id.as_str()])
}
