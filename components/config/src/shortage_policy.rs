//! Handling of requests while too few tokens are available.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Handling of a request for which the budget has too few tokens available at the moment.
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ShortagePolicy {
    /// Maximum wait for reserved tokens to be released, within the request's deadline.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "max_wait_ms")]
    pub max_wait: Duration,
}

impl Default for ShortagePolicy {
    fn default() -> ShortagePolicy {
        ShortagePolicy { max_wait: Duration::from_secs(5) }
    }
}
