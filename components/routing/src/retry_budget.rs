//! Retry budget: limits retries to a share of the successful requests.

/// Retries added to the budget by each successful request.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// Initial number of retries in the budget.
const INITIAL_RETRIES: f64 = 10.0;

/// Maximum number of retries in the budget.
const RETRIES_MAX: f64 = 100.0;

/// Retries added to the budget per second, so that a router with little traffic can retry.
const RETRIES_PER_SECOND: f64 = 1.0;

/// Token bucket of retries, refilled by successful requests and slowly over time.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    /// Available retries; between zero and [`RETRIES_MAX`].
    left: f64,
    /// When the bucket was last refilled for elapsed time.
    filled_at: types::Timestamp,
}

impl RetryBudget {
    /// Creates a budget that allows a few retries before the first successful request.
    pub fn new(now: types::Timestamp) -> RetryBudget {
        RetryBudget { left: INITIAL_RETRIES, filled_at: now }
    }

    /// Refills the budget after a successful request.
    pub fn on_success(&mut self) {
        self.left = (self.left + RETRIES_PER_SUCCESS).min(RETRIES_MAX);
    }

    /// Consumes one retry. Returns false if none is available.
    pub fn try_take(&mut self, now: types::Timestamp) -> bool {
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
#[path = "retry_budget_tests.rs"]
mod tests;
