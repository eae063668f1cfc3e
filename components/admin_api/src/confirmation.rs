//! Confirmed plans.

use serde::{Deserialize, Serialize};
use types::{ConfigVersion, OperatorName, PlanId, UnixMillis};

/// Answer to `POST /admin/v1/plans/PLAN/confirm`; the same however often it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Plan.
    pub plan: PlanId,
    /// Version of the configuration in force with it.
    pub version: ConfigVersion,
    /// Operator who confirmed it first.
    pub confirmed_by: OperatorName,
    /// When it was confirmed first, in milliseconds after 1970-01-01 UTC.
    pub confirmed_at: UnixMillis,
}
