//! Retry budget: a share of the successful requests.

/// Retries that each successful request allows.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Retries that the budget holds at first.
const INITIAL_RETRIES: f64 = 10.0;

/// Retries that the budget holds at most.
const RETRIES_MAX: f64 = 100.0;

/// Retries that each second allows, so that a router without traffic can retry.
const RETRIES_PER_SECOND: f64 = 1.0;

/// Token bucket of retries, filled by successful requests and slowly by time.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Retries left; between zero and [`RETRIES_MAX`].
    left: f64,
    /// When time last filled the bucket.
    filled_at: types::Timestamp,
}

impl RetryBudget {
    /// Creates a budget.
    pub fn new(now: types::Timestamp) -> RetryBudget {
        RetryBudget { left: INITIAL_RETRIES, filled_at: now }
    }

    /// Adds the share of a successful request.
    pub fn on_success(&mut self) {
        self.left = (self.left + RETRIES_PER_SUCCESS).min(RETRIES_MAX);
    }

    /// Takes one retry; false where none is left.
    pub fn take(&mut self, now: types::Timestamp) -> bool {
        let seconds = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.left = (self.left + seconds * RETRIES_PER_SECOND).min(RETRIES_MAX);
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use types::Timestamp;

    use super::*;

    #[test]
    fn retries_are_a_share_of_the_successes() {
        let now = Timestamp::ZERO;
        let mut budget = RetryBudget::new(now);
        let initial = (0..1_000).filter(|_| budget.take(now)).count();
        assert_eq!(initial, 10);
        (0..200).for_each(|_| budget.on_success());
        let earned = (0..1_000).filter(|_| budget.take(now)).count();
        assert!((19..=20).contains(&earned), "{earned}");
    }

    #[test]
    fn time_gives_a_small_floor() {
        let mut budget = RetryBudget::new(Timestamp::ZERO);
        while budget.take(Timestamp::ZERO) {}
        assert!(budget.take(Timestamp::from_millis(1_000)));
        assert!(!budget.take(Timestamp::from_millis(1_000)));
    }
}
