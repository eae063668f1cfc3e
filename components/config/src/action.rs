//! Actions of plain services.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use types::{Priority, ServiceName, Tokens};

/// An action of a plain service that callers may request.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Action {
    /// Service that runs the action.
    pub service: ServiceName,
    /// Path on the service's endpoints. Starts with `/`.
    pub path: String,
    /// Whether the action may run more than once for one request.
    pub idempotent: bool,
    /// Priority of its requests.
    #[serde(default)]
    pub priority: Priority,
    /// Price of one run, in tokens.
    pub price: Tokens,
    /// Maximum time of one attempt.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "timeout_ms")]
    pub timeout: Duration,
}
