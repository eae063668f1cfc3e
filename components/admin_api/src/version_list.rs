//! Versions of the configuration and their differences.

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, OperatorName, PlanId, UnixMillis};

/// Answer to `GET /admin/v1/versions`, oldest first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionList {
    /// Versions of this page.
    pub versions: Vec<VersionView>,
    /// What to pass as `after` for the next page; absent on the last.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub next: Option<u64>,
}

/// One accepted version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionView {
    /// Version.
    pub version: ConfigVersion,
    /// Plan that led to it.
    pub plan: PlanId,
    /// Operator who confirmed the plan.
    pub confirmed_by: OperatorName,
    /// When, in milliseconds after 1970-01-01 UTC.
    pub confirmed_at: UnixMillis,
    /// What it changed, in words.
    pub words: Vec<String>,
}

/// Answer to `GET /admin/v1/versions/FROM/diff/TO`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionDiff {
    /// Version before.
    pub from: ConfigVersion,
    /// Version after.
    pub to: ConfigVersion,
    /// What differs, in words.
    pub words: Vec<String>,
    /// What differs, as data, with shortened hashes of keys.
    pub changes: serde_json::Value,
}
