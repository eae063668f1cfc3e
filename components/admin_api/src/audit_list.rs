//! The audit record.

use config::AuditRow;
use serde::{Deserialize, Serialize};

/// Answer to `GET /admin/v1/audit`: who confirmed what, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditList {
    /// Entries of this page.
    pub entries: Vec<AuditRow>,
    /// What to pass as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}
