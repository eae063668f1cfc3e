//! The router's monotonic clock.

use std::time::Duration;

use tokio::time::Instant;
use types::Timestamp;

/// Monotonic clock that measures the time since it was created, at the start of the router.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// When the clock was created.
    start: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    /// Waits until `deadline`.
    pub async fn sleep_until(&self, deadline: Timestamp) {
        tokio::time::sleep_until(self.start + Duration::from_micros(deadline.0)).await;
    }

    /// Returns the time remaining until `deadline`; zero if it has passed.
    pub fn time_left_until(&self, deadline: Timestamp) -> Duration {
        deadline.since(self.now())
    }
}

impl Default for Clock {
    fn default() -> Clock {
        Clock::new()
    }
}
