//! Simulated faults.

use std::time::Duration;

use rand::Rng as _;
use utils::Rng;

/// Range from which delays are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelayRange {
    /// Minimum delay.
    pub min: Duration,
    /// Maximum delay.
    pub max: Duration,
}

/// Faults and delays of a [`Fleet`](crate::Fleet).
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetFaults {
    /// Whether every call to the table fails as unavailable.
    pub table_down: bool,
    /// Fraction of commits, from 0 to 1, that reach the table but whose outcome is reported as
    /// unknown.
    pub lost_answers: f64,
    /// Fraction of commits, from 0 to 1, whose outcome is reported as unknown and that reach the
    /// table only after `late_delay`.
    pub late_commits: f64,
    /// One-way delay between a router and the table.
    pub table_delay: DelayRange,
    /// Fraction of messages between routers, from 0 to 1, that are lost.
    pub lost_messages: f64,
    /// Fraction of messages between routers, from 0 to 1, that are delivered twice.
    pub duplicated_messages: f64,
    /// One-way delay between two routers.
    pub message_delay: DelayRange,
    /// Delay of a late commit and of the extra copy of a duplicated message.
    pub late_delay: DelayRange,
    /// Delay until another router notices that a router has died, paused or been partitioned off.
    pub detection_delay: DelayRange,
}

impl DelayRange {
    /// Creates a range from bounds in milliseconds.
    pub const fn from_millis(min: u64, max: u64) -> DelayRange {
        DelayRange { min: Duration::from_millis(min), max: Duration::from_millis(max) }
    }

    /// Returns a random delay from the range, bounds included.
    pub fn draw(&self, rng: &mut Rng) -> Duration {
        self.min + (self.max - self.min).mul_f64(rng.random_range(0.0..=1.0))
    }
}

impl Default for FleetFaults {
    fn default() -> FleetFaults {
        FleetFaults {
            table_down: false,
            lost_answers: 0.0,
            late_commits: 0.0,
            table_delay: DelayRange::from_millis(1, 4),
            lost_messages: 0.0,
            duplicated_messages: 0.0,
            message_delay: DelayRange::from_millis(1, 2),
            late_delay: DelayRange::from_millis(100, 3_000),
            detection_delay: DelayRange::from_millis(1_000, 3_000),
        }
    }
}
