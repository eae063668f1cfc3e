//! Errors of the platform's services.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error of one of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlatformError {
    /// The service was not reached or did not answer in time.
    #[error("the platform's service is not reachable")]
    Unavailable,
    /// The service refused the call because of its rate limit.
    #[error("the platform's service limits the rate of calls")]
    RateLimited,
    /// The service refused the call as malformed, or its answer was malformed.
    #[error("malformed call or answer: {0}")]
    Malformed(String),
}
