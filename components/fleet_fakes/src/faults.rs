//! Faults of the fakes.

use std::time::Duration;

use rand::Rng as _;
use utils::Rng;

/// Range of a delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelayRange {
    /// Shortest delay.
    pub min: Duration,
    /// Longest delay.
    pub max: Duration,
}

/// Faults that the fakes have from now on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetFaults {
    /// Whether the table refuses every call.
    pub table_down: bool,
    /// Share of commits, from 0 to 1, whose answer is lost after they took effect.
    pub lost_answers: f64,
    /// Share of commits, from 0 to 1, whose outcome is unknown to their sender and which
    /// are tried only later.
    pub late_commits: f64,
    /// Delay between a router and the table, one way.
    pub table_delay: DelayRange,
    /// Share of messages, from 0 to 1, that are lost.
    pub lost_messages: f64,
    /// Share of messages, from 0 to 1, that come twice.
    pub duplicated_messages: f64,
    /// Delay between two routers, one way.
    pub message_delay: DelayRange,
    /// Delay of a late commit and of the second copy of a message.
    pub late_delay: DelayRange,
    /// Time until a death, pause or partition is noticed by the others.
    pub detection: DelayRange,
}

impl DelayRange {
    /// Creates a range in milliseconds.
    pub const fn from_millis(min: u64, max: u64) -> DelayRange {
        DelayRange { min: Duration::from_millis(min), max: Duration::from_millis(max) }
    }

    /// Draws a delay.
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
            detection: DelayRange::from_millis(1_000, 3_000),
        }
    }
}
