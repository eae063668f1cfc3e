//! Limits on the rate of calls.

use std::time::Duration;

use types::Timestamp;

/// Limits on the rate of calls to the table.
#[derive(Debug, Clone)]
pub struct CallLimits {
    /// Limit on reads and scans together.
    pub reads: RateLimiter,
    /// Limit on commits.
    pub writes: RateLimiter,
}

/// A token bucket that limits the rate of calls. It allows bursts of as many calls as the rate
/// allows in one second.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    /// Calls per second.
    rate: f64,
    /// Calls available at `updated`, including fractions. Never more than `rate`.
    available: f64,
    /// Time of the last update of `available`.
    updated: Timestamp,
}

impl CallLimits {
    /// Creates limits of `reads` and `writes` calls per second.
    pub fn new(reads: u32, writes: u32) -> CallLimits {
        CallLimits { reads: RateLimiter::new(reads), writes: RateLimiter::new(writes) }
    }
}

impl RateLimiter {
    /// Creates a limiter for `rate` calls per second, with its full burst available.
    pub fn new(rate: u32) -> RateLimiter {
        let rate = f64::from(rate);
        RateLimiter { rate, available: rate, updated: Timestamp::ZERO }
    }

    /// Admits one call; returns `false` if the limit is reached.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        let elapsed: Duration = now.since(self.updated);
        self.updated = now;
        self.available = (self.available + elapsed.as_secs_f64() * self.rate).min(self.rate);
        let is_allowed = self.available >= 1.0;
        if is_allowed {
            self.available -= 1.0;
        }
        is_allowed
    }
}

#[cfg(test)]
#[path = "limits_tests.rs"]
mod tests;
