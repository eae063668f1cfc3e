//! When a verdict is tested.

use std::time::Duration;

use types::Timestamp;

/// Time from a verdict to its first trial if no request with the key was ever answered.
const FIRST_INTERVAL: Duration = Duration::from_secs(30);

/// Time from a verdict to its first trial if some requests with the key were answered.
const FIRST_INTERVAL_IN_DOUBT: Duration = Duration::from_secs(5);

/// Ratio of each interval between two trials to the one before.
const INTERVAL_FACTOR: u32 = 4;

/// Longest interval between two trials.
const INTERVAL_MAX: Duration = Duration::from_secs(3_600);

/// Trials of a verdict: single requests that may run although they contain something condemned.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct TrialSchedule {
    /// Number of trials begun since the verdict, at any router.
    pub(super) trials: u32,
    /// When the key was condemned, or the last trial began.
    pub(super) tested_at: Timestamp,
}

impl TrialSchedule {
    /// Reports whether a trial is due. `delay_factor` above one is for routers that take over if
    /// the one that should run the trial does not.
    pub(super) fn is_due(&self, is_in_doubt: bool, delay_factor: f64, now: Timestamp) -> bool {
        let first = if is_in_doubt { FIRST_INTERVAL_IN_DOUBT } else { FIRST_INTERVAL };
        let factor = INTERVAL_FACTOR.saturating_pow(self.trials.min(8));
        let interval = first.saturating_mul(factor).min(INTERVAL_MAX);
        now.since(self.tested_at) >= interval.mul_f64(delay_factor)
    }

    /// Records the start of a trial.
    pub(super) fn begin(&mut self, now: Timestamp) {
        self.trials += 1;
        self.tested_at = now;
    }

    /// Takes over trials of other routers.
    pub(super) fn merge(&mut self, trials: u32, tested_at: Timestamp) {
        if trials > self.trials {
            *self = TrialSchedule { trials, tested_at };
        }
    }
}
