//! How much of the held tokens may leave a router before it declares them anew.

use std::time::Duration;

use types::Timestamp;

/// Time of the store after a declaration's known time within which its ceilings bind. A
/// process that starts within it knows that its predecessor, which has ended, kept to them.
/// Longer than a restart after a loss of power takes (up to 3.1 s, docs/incidents/inc-fe22.md).
pub const BINDING_TIME: Duration = Duration::from_millis(3_200);

/// Margin for the drift of the two steady clocks, as a factor.
const DRIFT_FACTOR: f64 = 1.1;

/// A declaration to the store, for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Stored {
    /// Number of the commit.
    number: u64,
    /// Tokens that may still leave.
    left: u64,
    /// Until when the declaration binds by itself.
    binds_until: Timestamp,
    /// Whether it names a witness, so that afterwards a declaration to it is needed.
    has_witness: bool,
}

/// A declaration to the witness, for one account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Witnessed {
    /// Number of the declaration.
    number: u64,
    /// Tokens that may still leave.
    left: u64,
    /// Whether the witness has confirmed it.
    is_confirmed: bool,
}

/// The ceilings that bind one account: of declarations that took effect, and of those whose
/// outcome is not known.
#[derive(Debug, Clone, Default)]
pub(super) struct Ceilings {
    stored: Vec<Stored>,
    witnessed: Vec<Witnessed>,
}

/// Returns until when a declaration binds whose known store time was received at `at`.
pub(super) fn binds_until(at: Timestamp) -> Timestamp {
    at + BINDING_TIME.mul_f64(DRIFT_FACTOR)
}

impl Ceilings {
    /// Adds a declaration that is about to be committed to the store.
    pub(super) fn begin(
        &mut self,
        number: u64,
        ceiling: u64,
        binds_until: Timestamp,
        has_witness: bool,
    ) {
        self.stored.push(Stored { number, left: ceiling, binds_until, has_witness });
    }

    /// Ends a commit: a declaration that took effect replaces all before.
    pub(super) fn finish(&mut self, number: u64, is_applied: bool) {
        self.stored.retain(|it| (it.number == number) == is_applied);
        if is_applied {
            self.witnessed.clear();
        }
    }

    /// Adds a declaration that is about to be sent to the witness.
    pub(super) fn begin_witnessed(&mut self, number: u64, ceiling: u64) {
        self.witnessed.push(Witnessed { number, left: ceiling, is_confirmed: false });
    }

    /// Notes that the witness has confirmed a declaration; it replaces those before.
    pub(super) fn confirm_witnessed(&mut self, number: u64) {
        if let Some(it) = self.witnessed.iter_mut().find(|it| it.number == number) {
            it.is_confirmed = true;
            self.witnessed.retain(|it| it.number >= number);
        }
    }

    /// Notes that tokens have left the router.
    pub(super) fn take(&mut self, tokens: u64) {
        for left in self.all_left() {
            *left = left.saturating_sub(tokens);
        }
    }

    /// Notes tokens that came in and are in no declaration.
    pub(super) fn add(&mut self, tokens: u64) {
        for left in self.all_left() {
            *left = left.saturating_add(tokens);
        }
    }

    fn all_left(&mut self) -> impl Iterator<Item = &mut u64> {
        let stored = self.stored.iter_mut().map(|it| &mut it.left);
        stored.chain(self.witnessed.iter_mut().map(|it| &mut it.left))
    }

    /// Returns the tokens that may still leave; `None` where nothing binds.
    pub(super) fn left(&self, now: Timestamp) -> Option<u64> {
        let is_confirmed = self.witnessed.iter().any(|it| it.is_confirmed);
        let needs_witness = self.stored.iter().any(|it| now >= it.binds_until && it.has_witness);
        if needs_witness && !is_confirmed {
            return Some(0);
        }
        let binding = self.stored.iter().filter(|it| now < it.binds_until);
        let stored = binding.map(|it| it.left).min();
        let witnessed = self.witnessed.iter().map(|it| it.left).min();
        stored.into_iter().chain(witnessed).min()
    }
}
