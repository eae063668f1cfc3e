//! How much of the held tokens may leave a router before it declares them anew.

use std::time::Duration;

use types::Timestamp;

/// Time of the store after a declaration's known time within which its ceilings bind. A
/// process that starts within it knows that its predecessor, which has ended, kept to them.
/// Longer than a restart after a crash takes.
pub const BINDING_TIME: Duration = Duration::from_millis(2_400);

/// Margin for the drift of the two steady clocks, as a factor.
const DRIFT_FACTOR: f64 = 1.1;

/// One declaration's ceiling for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Declared {
    /// Number of the commit.
    number: u64,
    /// Tokens that may still leave.
    left: u64,
    /// Until when the declaration binds.
    binds_until: Timestamp,
}

/// The ceilings that bind one account: of the last declaration that took effect, and of one
/// whose outcome is not known.
#[derive(Debug, Clone, Default)]
pub(super) struct Ceilings {
    declared: Vec<Declared>,
}

/// Returns until when a declaration binds whose known store time was received at `at`.
pub(super) fn binds_until(at: Timestamp) -> Timestamp {
    at + BINDING_TIME.mul_f64(DRIFT_FACTOR)
}

impl Ceilings {
    /// Adds a declaration that is about to be committed.
    pub(super) fn begin(&mut self, number: u64, ceiling: u64, binds_until: Timestamp) {
        self.declared.push(Declared { number, left: ceiling, binds_until });
    }

    /// Ends a commit: a declaration that took effect replaces the ones before.
    pub(super) fn finish(&mut self, number: u64, is_applied: bool) {
        self.declared.retain(|it| (it.number == number) == is_applied);
    }

    /// Notes that tokens have left the router.
    pub(super) fn take(&mut self, tokens: u64) {
        for it in &mut self.declared {
            it.left = it.left.saturating_sub(tokens);
        }
    }

    /// Notes tokens that came in and are in no declaration.
    pub(super) fn add(&mut self, tokens: u64) {
        for it in &mut self.declared {
            it.left = it.left.saturating_add(tokens);
        }
    }

    /// Returns the tokens that may still leave; `None` where nothing binds.
    pub(super) fn left(&self, now: Timestamp) -> Option<u64> {
        let binding = self.declared.iter().filter(|it| now < it.binds_until);
        binding.map(|it| it.left).min()
    }
}
