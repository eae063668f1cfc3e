//! Versions of the configuration and the differences between them.

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, OperatorName, PlanId, UnixMillis};

/// Answer to `GET /admin/v1/versions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionList {
    /// Accepted versions of this page, oldest first.
    pub versions: Vec<VersionView>,
    /// Value of the `after` parameter for the next page; absent on the last page.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<u64>,
}

/// Accepted version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionView {
    /// Number of the version.
    pub version: ConfigVersion,
    /// Plan that resulted in the version.
    pub plan: PlanId,
    /// Operator who confirmed the plan.
    pub confirmed_by: OperatorName,
    /// Time of the confirmation, in milliseconds since 1970-01-01 UTC.
    pub confirmed_at: UnixMillis,
    /// Descriptions of the changes from the previous version.
    pub words: Vec<String>,
}

/// Answer to `GET /admin/v1/versions/FROM/diff/TO`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDiff {
    /// Version that the differences start from.
    pub from: ConfigVersion,
    /// Version that the differences lead to.
    pub to: ConfigVersion,
    /// Descriptions of the differences.
    pub words: Vec<String>,
    /// Differences as JSON, with shortened hashes of API keys.
    pub changes: serde_json::Value,
}
