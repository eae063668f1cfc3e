//! What happens when a budget is short.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// What happens to a request for which the budget is short just now.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShortagePolicy {
    /// Longest wait for reserved tokens to be released, within the request's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
}

impl Default for ShortagePolicy {
    fn default() -> ShortagePolicy {
        ShortagePolicy { max_wait: Duration::from_secs(5) }
    }
}
