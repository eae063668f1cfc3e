//! Confirmed plans.

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, OperatorName, PlanId, UnixMillis};

/// Answer to `POST /admin/v1/plans/PLAN/confirm`. Repeated calls get the same answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Id of the confirmed plan.
    pub plan: PlanId,
    /// Configuration version that results from the plan.
    pub version: ConfigVersion,
    /// Operator who first confirmed the plan.
    pub confirmed_by: OperatorName,
    /// Time of the first confirmation, in milliseconds since 1970-01-01 UTC.
    pub confirmed_at: UnixMillis,
}
