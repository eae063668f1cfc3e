//! Audit log.

use config::AuditRow;
use serde::{Deserialize, Serialize};

/// Answer to `GET /admin/v1/audit`: which operator confirmed which change, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditList {
    /// Entries of this page.
    pub entries: Vec<AuditRow>,
    /// Value of the `after` parameter for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}
