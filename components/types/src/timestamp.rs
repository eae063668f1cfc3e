//! Points in time for decision logic.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Point in time, in microseconds after the start of the process.
///
/// Decision logic gets the time as an argument and never reads a clock. Timestamps of different
/// processes must not be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The start of the process.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates the point `millis` milliseconds after the start of the process.
    pub const fn from_millis(millis: u64) -> Timestamp {
        Timestamp(millis * 1_000)
    }

    /// Returns whole milliseconds after the start of the process.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Duration) -> Timestamp {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_add(micros))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: Duration) -> Timestamp {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Timestamp(self.0.saturating_sub(micros))
    }
}
