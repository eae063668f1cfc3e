//! Ceilings on the tokens that a router may spend or lend before its next declaration.

use std::time::Duration;

use types::Timestamp;

/// Time for which the ceilings of a declaration are in force, on the store's clock, counted from
/// the declaration's [`known_store_ms`](super::HoldingsRow::known_store_ms). A process that starts
/// within this time knows that the previous process, which has ended, respected them. Longer than a
/// restart after a power loss takes (up to 3.1 s, docs/incidents/inc-fe22.md).
pub const CEILING_VALIDITY: Duration = Duration::from_millis(3_200);

/// Margin for drift between the store's clock and the router's monotonic clock, as a factor.
const CLOCK_DRIFT_FACTOR: f64 = 1.1;

/// The ceiling of one account in a declaration to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoredCeiling {
    /// Number of the commit.
    number: u64,
    /// Tokens that may still be spent or lent.
    remaining: u64,
    /// Until when the ceiling is in force without a witness.
    valid_until: Timestamp,
    /// Whether the declaration names a witness, so that after `valid_until` tokens may only be
    /// spent under a declaration to it.
    has_witness: bool,
}

/// The ceiling of one account in a declaration to the witnesses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WitnessedCeiling {
    /// Number of the declaration.
    number: u64,
    /// Tokens that may still be spent or lent.
    remaining: u64,
    /// Whether a witness has confirmed the declaration.
    is_confirmed: bool,
}

/// The ceilings of one account, from declarations that took effect and from those whose outcome is
/// unknown.
#[derive(Debug, Clone, Default)]
pub(super) struct Ceilings {
    stored: Vec<StoredCeiling>,
    witnessed: Vec<WitnessedCeiling>,
}

/// Returns until when a ceiling is in force if its known store time was received at `at`.
pub(super) fn ceiling_valid_until(at: Timestamp) -> Timestamp {
    at + CEILING_VALIDITY.mul_f64(CLOCK_DRIFT_FACTOR)
}

impl Ceilings {
    /// Adds the ceiling of a declaration that is about to be committed to the store.
    pub(super) fn begin(
        &mut self,
        number: u64,
        ceiling: u64,
        valid_until: Timestamp,
        has_witness: bool,
    ) {
        self.stored.push(StoredCeiling { number, remaining: ceiling, valid_until, has_witness });
    }

    /// Ends a commit. A declaration that took effect replaces all earlier ones.
    pub(super) fn finish(&mut self, number: u64, is_applied: bool) {
        self.stored.retain(|it| (it.number == number) == is_applied);
        if is_applied {
            self.witnessed.clear();
        }
    }

    /// Adds the ceiling of a declaration that is about to be sent to the witnesses.
    pub(super) fn begin_witnessed(&mut self, number: u64, ceiling: u64) {
        self.witnessed.push(WitnessedCeiling { number, remaining: ceiling, is_confirmed: false });
    }

    /// Marks a declaration as confirmed by a witness; it replaces the earlier ones to witnesses.
    pub(super) fn confirm_witnessed(&mut self, number: u64) {
        if let Some(it) = self.witnessed.iter_mut().find(|it| it.number == number) {
            it.is_confirmed = true;
            self.witnessed.retain(|it| it.number >= number);
        }
    }

    /// Removes all ceilings.
    pub(super) fn clear(&mut self) {
        self.stored.clear();
        self.witnessed.clear();
    }

    /// Subtracts tokens that were spent or lent.
    pub(super) fn subtract(&mut self, tokens: u64) {
        for remaining in self.all_remaining() {
            *remaining = remaining.saturating_sub(tokens);
        }
    }

    /// Adds tokens that were received and are not in any declaration.
    pub(super) fn add(&mut self, tokens: u64) {
        for remaining in self.all_remaining() {
            *remaining = remaining.saturating_add(tokens);
        }
    }

    fn all_remaining(&mut self) -> impl Iterator<Item = &mut u64> {
        let stored = self.stored.iter_mut().map(|it| &mut it.remaining);
        stored.chain(self.witnessed.iter_mut().map(|it| &mut it.remaining))
    }

    /// Returns the tokens that may still be spent or lent; `None` if no ceiling is in force.
    pub(super) fn remaining(&self, now: Timestamp) -> Option<u64> {
        let is_confirmed = self.witnessed.iter().any(|it| it.is_confirmed);
        let needs_witness = self.stored.iter().any(|it| now >= it.valid_until && it.has_witness);
        if needs_witness && !is_confirmed {
            return Some(0);
        }
        let in_force = self.stored.iter().filter(|it| now < it.valid_until);
        let stored = in_force.map(|it| it.remaining).min();
        let witnessed = self.witnessed.iter().map(|it| it.remaining).min();
        stored.into_iter().chain(witnessed).min()
    }
}
