//! Faults that the table stand-in can be told to have.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Faults that the table stand-in has from now on.
#[serde_as]
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct TableFaults {
    /// Whether it refuses every call.
    pub down: bool,
    /// Time before each answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// Share of commits, from 0 to 1, whose answer is lost after they took effect.
    pub lost_answers: f64,
}
