//! States that only an operator can resolve.

use serde::{Deserialize, Serialize};

/// Answer to `GET /admin/v1/in-doubt` and `GET /admin/v1/outcome-unknown`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtList {
    /// Rows of this page.
    pub rows: Vec<InDoubtRow>,
    /// What to pass as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// A row of the table that waits for an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InDoubtRow {
    /// Key of the row.
    pub key: String,
    /// Value of the row.
    pub value: serde_json::Value,
}
