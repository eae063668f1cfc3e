//! Rows of the table that hold plans, versions and the audit record.

use serde::{Deserialize, Serialize};
use types::{AccountName, ConfigVersion, DepositId, OperatorName, PlanId, Tokens, UnixMillis};

use crate::{Change, Plan};

/// Key of the row with the accepted version, which every commit of a plan checks.
pub const CONFIG_HEAD_KEY: &str = "config/head";

/// Prefix of the keys of the rows with the changes of each version.
pub const CONFIG_CHANGES_PREFIX: &str = "config/change/";

/// Prefix of the keys of plans.
pub const PLAN_PREFIX: &str = "plan/";

/// Prefix of the keys of the audit record.
pub const AUDIT_PREFIX: &str = "audit/";

/// Prefix of the keys of deposits.
pub const DEPOSIT_PREFIX: &str = "deposit/";

/// Versions after which a plan's commit writes the whole configuration again. The rows
/// between hold changes only.
pub const SNAPSHOT_INTERVAL: u64 = 64;

/// The accepted version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigHead {
    /// Version in force.
    pub version: ConfigVersion,
    /// Version that the whole configuration was last written in. Not above `version`,
    /// and all changes between have rows.
    pub snapshot: ConfigVersion,
}

/// The changes of one version. Written once, never changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionRow {
    /// Version that the changes lead to, from the one before.
    pub version: ConfigVersion,
    /// Plan.
    pub plan: PlanId,
    /// Operator who confirmed it.
    pub confirmed_by: OperatorName,
    /// When it was confirmed.
    pub confirmed_at: UnixMillis,
    /// The changes.
    pub changes: Vec<Change>,
}

/// State of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case", deny_unknown_fields)]
pub enum PlanState {
    /// It can be confirmed until it expires.
    Open,
    /// A confirmation found it expired. Written so that an earlier commit that is still
    /// on its way cannot take effect any more.
    Expired,
    /// It took effect.
    Confirmed {
        /// Version in force with it.
        version: ConfigVersion,
        /// Operator who confirmed it.
        by: OperatorName,
        /// When it was confirmed.
        at: UnixMillis,
    },
}

/// A plan and its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRow {
    /// State.
    pub state: PlanState,
    /// Plan.
    pub plan: Plan,
}

/// One entry of the audit record. Written once, never changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditRow {
    /// When the plan was confirmed.
    pub at: UnixMillis,
    /// Operator who confirmed it.
    pub operator: OperatorName,
    /// Operator who made it.
    pub made_by: OperatorName,
    /// Plan.
    pub plan: PlanId,
    /// Version in force with it.
    pub version: ConfigVersion,
    /// What it changed, in words.
    pub words: Vec<String>,
}

/// A deposit that was made. Written once, never changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DepositRow {
    /// Id.
    pub id: DepositId,
    /// Client account.
    pub account: AccountName,
    /// Amount.
    pub tokens: Tokens,
    /// Plan that made it.
    pub plan: PlanId,
    /// When it was made.
    pub at: UnixMillis,
}
