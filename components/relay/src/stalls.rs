//! Detects stalls of the process: it was stopped, got no processor time, or its host was suspended.

use std::time::Duration;

use rustix::time::{ClockId, Timespec, clock_gettime};
use types::Timestamp;

/// Maximum time between two checks while the process runs.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time by which a check must be late to count as a stall.
const LATENESS_MIN: Duration = Duration::from_millis(500);

/// Stalls of the process, detected by late checks.
#[derive(Debug, Default)]
pub(crate) struct Stalls {
    /// When the last check was made, by a clock that counts suspension.
    checked_at: Timestamp,
    /// When the last stall was noticed, by the clock of the process.
    noticed_at: Option<Timestamp>,
}

impl Stalls {
    /// Checks whether the process has stalled since the last check. `boot_now` is the time by a clock
    /// that counts suspension.
    pub(crate) fn check(&mut self, now: Timestamp, boot_now: Timestamp) {
        if boot_now.since(self.checked_at) >= CHECK_INTERVAL + LATENESS_MIN {
            log::info!(stall_ms = boot_now.since(self.checked_at).as_millis(); "process stalled");
            self.noticed_at = Some(now);
        }
        self.checked_at = boot_now;
    }

    /// Reports whether a stall was noticed at `at` or later.
    pub(crate) fn has_stalled_since(&self, at: Timestamp) -> bool {
        self.noticed_at.is_some_and(|it| it >= at)
    }
}

/// Returns the time for which the host has been suspended since it booted.
pub(crate) fn time_suspended() -> Duration {
    let steady = clock_gettime(ClockId::Monotonic);
    let with_suspension = clock_gettime(ClockId::Boottime);
    let micros = |it: Timespec| it.tv_sec * 1_000_000 + it.tv_nsec / 1_000;
    let difference = micros(with_suspension) - micros(steady);
    Duration::from_micros(u64::try_from(difference).unwrap_or(0))
}

#[cfg(test)]
#[path = "stalls_tests.rs"]
mod tests;
