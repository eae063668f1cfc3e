//! Table rows that hold plans, configuration versions and the audit log.

use serde::{Deserialize, Serialize};
use types::{AccountName, ConfigVersion, DepositId, OperatorName, PlanId, Tokens, UnixMillis};

use crate::{Change, Plan};

/// Key of the row with the accepted version. Every commit of a plan has a precondition on it.
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// Prefix of the keys of the rows with the changes of each version.
pub const CONFIG_CHANGES_PREFIX: &str = "config/change/";

/// Prefix of the keys of plans.
pub const PLAN_PREFIX: &str = "plan/";

/// Prefix of the keys of the audit log.
pub const AUDIT_PREFIX: &str = "audit/";

/// Prefix of the keys of deposits.
pub const DEPOSIT_PREFIX: &str = "deposit/";

/// Number of versions from one snapshot of the whole configuration to the next. The versions
/// in between are stored only as rows with their changes.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// The accepted version and that of the last snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Accepted version.
    pub version: ConfigVersion,
    /// Version of the last snapshot of the whole configuration. Not above `version`; all
    /// versions after it have rows with their changes.
    pub snapshot: ConfigVersion,
}

/// The changes of one version. Never changed after it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionRow {
    /// Version that results from applying the changes to the previous version.
    pub version: ConfigVersion,
    /// Plan that made the changes.
    pub plan: PlanId,
    /// Operator who confirmed it.
    pub confirmed_by: OperatorName,
    /// Time at which it was confirmed.
    pub confirmed_at: UnixMillis,
    /// Changes from the previous version.
    pub changes: Vec<Change>,
}

/// State of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlanState {
    /// The plan can be confirmed until it expires.
    Open,
    /// A confirmation found the plan expired. The state is written so that an earlier
    /// commit that is still in flight can no longer take effect.
    Expired,
    /// The plan was confirmed and took effect.
    Confirmed {
        /// Accepted version after the plan.
        version: ConfigVersion,
        /// Operator who confirmed it.
        by: OperatorName,
        /// Time at which it was confirmed.
        at: UnixMillis,
    },
}

/// A plan and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRow {
    /// State of the plan.
    pub state: PlanState,
    /// The plan itself.
    pub plan: Plan,
}

/// One entry of the audit log. Never changed after it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRow {
    /// Time at which the plan was confirmed.
    pub at: UnixMillis,
    /// Operator who confirmed it.
    pub operator: OperatorName,
    /// Operator who made the plan.
    pub made_by: OperatorName,
    /// Id of the plan.
    pub plan: PlanId,
    /// Accepted version after the plan.
    pub version: ConfigVersion,
    /// Lines that describe the plan in words.
    pub words: Vec<String>,
}

/// A deposit that was made. Never changed after it is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DepositRow {
    /// Id of the deposit.
    pub id: DepositId,
    /// Client account whose budget received the tokens.
    pub account: AccountName,
    /// Amount, in tokens.
    pub tokens: Tokens,
    /// Plan that made it.
    pub plan: PlanId,
    /// Time at which it was made.
    pub at: UnixMillis,
}
