//! Faults of the in-memory table.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Faults that the in-memory table simulates.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableFaults {
    /// Whether every call fails with [`Unavailable`](platform::PlatformError::Unavailable).
    pub down: bool,
    /// Delay before each call is handled.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// Fraction of commits, from 0 to 1, that take effect but whose outcome is reported as unknown.
    pub lost_answers: f64,
}
