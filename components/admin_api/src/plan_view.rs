//! Plans of changes by operators.

use config::{Caution, Deposit, Resolution};
use serde::{Deserialize, Serialize};
use types::{ConfigVersion, OperatorName, PlanId, UnixMillis};

/// Status of a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlanStatus {
    /// The plan can be confirmed.
    Open,
    /// The plan was confirmed and took effect.
    Confirmed,
    /// The plan was not confirmed in time.
    Expired,
}

/// Answer to `POST /admin/v1/plans` and `GET /admin/v1/plans/PLAN`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlanView {
    /// Id under which operators confirm the plan.
    pub plan: PlanId,
    /// Status of the plan.
    pub status: PlanStatus,
    /// Configuration version that the changes are based on.
    pub base: ConfigVersion,
    /// Configuration version that results from the plan; absent until it is confirmed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<ConfigVersion>,
    /// Operator who made the plan.
    pub made_by: OperatorName,
    /// Time at which the plan was made, in milliseconds since 1970-01-01 UTC.
    pub made_at: UnixMillis,
    /// Time at which the plan expires, in milliseconds since 1970-01-01 UTC.
    pub expires_at: UnixMillis,
    /// Lines that describe the whole plan in words.
    pub words: Vec<String>,
    /// Effects that the operator should review before confirming.
    pub cautions: Vec<Caution>,
    /// Changes to the configuration as JSON, with shortened hashes of API keys.
    pub changes: serde_json::Value,
    /// Deposits to budgets.
    pub deposits: Vec<Deposit>,
    /// Resolutions of grants in doubt and of calls with unknown outcome.
    pub resolutions: Vec<Resolution>,
}
