//! Delays between failed calls, and the log lines at loss and return of a dependency.

use std::time::Duration;

use platform::PlatformError;
use utils::{Rng, jitter};

/// Delay after the first failure.
const FIRST: Duration = Duration::from_millis(100);

/// Longest delay: short enough that a change is in force within two seconds of the return
/// of the store.
const LONGEST: Duration = Duration::from_millis(500);

/// Delays between failed calls to one dependency.
#[derive(Debug)]
pub(super) struct Backoff {
    /// Name of the dependency, for logs.
    dependency: &'static str,
    /// Failures in a row.
    failures: u32,
}

impl Backoff {
    /// Creates the back-off of a dependency that is reached.
    pub(super) fn new(dependency: &'static str) -> Backoff {
        Backoff { dependency, failures: 0 }
    }

    /// Notes a success.
    pub(super) fn succeed(&mut self) {
        if self.failures > 0 {
            log::info!(dependency = self.dependency, failures = self.failures; "dependency regained");
        }
        self.failures = 0;
    }

    /// Notes a failure; returns the delay before the next call.
    pub(super) fn fail(&mut self, error: &PlatformError, rng: &mut Rng) -> Duration {
        if self.failures == 0 {
            log::warn!(dependency = self.dependency; "dependency lost: {error}");
        }
        self.failures += 1;
        let delay = FIRST * 2_u32.saturating_pow((self.failures - 1).min(8));
        jitter(delay.min(LONGEST), rng)
    }
}
