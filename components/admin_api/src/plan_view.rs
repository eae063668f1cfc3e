//! Plans.

use config::{Caution, Deposit, Resolution};
use serde::{Deserialize, Serialize};
use types::{ConfigVersion, OperatorName, PlanId, UnixMillis};

/// Whether a plan can be confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStatus {
    /// It can be confirmed.
    Open,
    /// It took effect.
    Confirmed,
    /// It was not confirmed in time.
    Expired,
}

/// Answer to `POST /admin/v1/plans` and `GET /admin/v1/plans/PLAN`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanView {
    /// Id, to confirm it with.
    pub plan: PlanId,
    /// Whether it can be confirmed.
    pub status: PlanStatus,
    /// Version that it was made against.
    pub base: ConfigVersion,
    /// Version in force with it, once it is confirmed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigVersion>,
    /// Operator who made it.
    pub made_by: OperatorName,
    /// When it was made, in milliseconds after 1970-01-01 UTC.
    pub made_at: UnixMillis,
    /// When it expires, in milliseconds after 1970-01-01 UTC.
    pub expires_at: UnixMillis,
    /// What it changes, in words.
    pub words: Vec<String>,
    /// Effects that need care.
    pub cautions: Vec<Caution>,
    /// What it changes in the configuration, as data, with shortened hashes of keys.
    pub changes: serde_json::Value,
    /// Deposits.
    pub deposits: Vec<Deposit>,
    /// Resolutions.
    pub resolutions: Vec<Resolution>,
}
