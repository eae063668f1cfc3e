//! Exponential backoff between failed calls; logs when a dependency is lost and regained.

use std::time::Duration;

use platform::PlatformError;
use utils::{Rng, jitter};

/// Delay after the first failure.
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// Longest delay: short enough that a change takes effect within two seconds of the store's
/// recovery.
const MAX_DELAY: Duration = Duration::from_millis(500);

/// Backoff between failed calls to one dependency.
#[derive(Debug)]
pub(super) struct Backoff {
    /// Name of the dependency, for logs.
    dependency: &'static str,
    /// Number of consecutive failures.
    failures: u32,
}

impl Backoff {
    /// Creates the backoff of a dependency without failures.
    pub(super) fn new(dependency: &'static str) -> Backoff {
        Backoff { dependency, failures: 0 }
    }

    /// Returns the number of consecutive failures.
    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a successful call and resets the delay.
    pub(super) fn record_success(&mut self) {
        if self.failures > 0 {
            log::info!(dependency = self.dependency, failures = self.failures; "dependency regained");
        }
        self.failures = 0;
    }

    /// Records a failed call; returns the delay before the next one, with jitter.
    pub(super) fn record_failure(&mut self, error: &PlatformError, rng: &mut Rng) -> Duration {
        if self.failures == 0 {
            log::warn!(dependency = self.dependency; "dependency lost: {error}");
        }
        self.failures += 1;
        let delay = INITIAL_DELAY * 2_u32.saturating_pow((self.failures - 1).min(8));
        jitter(delay.min(MAX_DELAY), rng)
    }
}
