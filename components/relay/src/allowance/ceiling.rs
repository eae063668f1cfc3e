//! Ceilings on the tokens that a router may spend or lend before its next declaration.
//!
//! A ceiling grows with the time since the declaration, so that a process that starts soon after its
//! predecessor's last declaration finds nearly all of the tokens unspent. See
//! `docs/design/tokens-after-a-power-loss.md`.

use std::time::Duration;

use types::Timestamp;

use super::rows::{Holding, HoldingsRow};

/// Time, on the store's clock, for which a router may spend by its declaration to the store alone,
/// without the confirmation of witnesses. Counted from the declaration's
/// [`known_store_ms`](super::HoldingsRow::known_store_ms).
pub const UNWITNESSED_TIME: Duration = Duration::from_millis(3_200);

/// Time, on the store's clock, for which the growing ceiling of a declaration to the store holds,
/// also for tokens that are spent with the confirmation of witnesses. Longer than a restart after a
/// power loss takes (up to 3.1 s, docs/incidents/inc-fe22.md).
pub const CAP_TIME: Duration = Duration::from_secs(6);

/// Time for which earlier builds rely on a row alone. Rows that do not state their times are theirs.
const EARLIER_VALIDITY: Duration = Duration::from_millis(3_200);

/// Margin for drift between the store's clock and the router's monotonic clock, as a factor.
const CLOCK_DRIFT_FACTOR: f64 = 1.1;

/// Returns a duration in whole milliseconds, as rows state it.
pub(super) fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// How a ceiling grows with the age of its declaration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Growth {
    /// Tokens that may be spent or lent at once.
    pub(super) start: u64,
    /// Tokens by which the ceiling grows per second, up to `UNWITNESSED_TIME`.
    pub(super) per_second: u64,
    /// Tokens by which it grows per second from then on.
    pub(super) later_per_second: u64,
}

impl Growth {
    /// Returns a ceiling that does not grow.
    pub(super) fn constant(tokens: u64) -> Growth {
        Growth { start: tokens, per_second: 0, later_per_second: 0 }
    }

    /// Returns the ceiling at an age of the declaration. It is the same on all routers for the same
    /// age in milliseconds, and not lower for a higher age.
    pub(super) fn at(self, age: Duration) -> u64 {
        let grown =
            |per_second: u64, age: Duration| per_second.saturating_mul(whole_millis(age)) / 1_000;
        let later = age.saturating_sub(UNWITNESSED_TIME);
        let grown =
            grown(self.per_second, age - later).saturating_add(grown(self.later_per_second, later));
        self.start.saturating_add(grown)
    }
}

/// The ceiling of one account in a declaration to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct StoredCeiling {
    /// Number of the commit.
    number: u64,
    /// The ceiling by age of the declaration.
    growth: Growth,
    /// When the store's time that the declaration states was received; `None` if it states none.
    known_at: Option<Timestamp>,
    /// Tokens spent or lent since the declaration.
    used: u64,
    /// Tokens received since that are not in any declaration.
    received: u64,
    /// Whether the declaration names witnesses.
    has_witness: bool,
}

impl StoredCeiling {
    /// Returns whether tokens may only be spent under a declaration to witnesses.
    fn needs_witness(&self, now: Timestamp) -> bool {
        self.has_witness && !self.is_within(UNWITNESSED_TIME, now)
    }

    /// Returns whether less than `time` has passed on the store's clock, or may have.
    fn is_within(&self, time: Duration, now: Timestamp) -> bool {
        self.known_at.is_some_and(|at| now.since(at) < time.mul_f64(CLOCK_DRIFT_FACTOR))
    }

    /// Returns the tokens that may still be spent or lent; `None` if the cap no longer holds.
    fn remaining(&self, now: Timestamp) -> Option<u64> {
        let known_at = self.known_at.filter(|_| self.is_within(CAP_TIME, now))?;
        let ceiling = self.growth.at(now.since(known_at).div_f64(CLOCK_DRIFT_FACTOR));
        Some(ceiling.saturating_add(self.received).saturating_sub(self.used))
    }
}

/// The ceiling of one account in a declaration to the witnesses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WitnessedCeiling {
    /// Number of the declaration.
    number: u64,
    /// Number of the last commit that had been sent to the store before.
    last_commit: u64,
    /// Tokens that may still be spent or lent.
    remaining: u64,
    /// Whether enough witnesses have confirmed the declaration.
    is_confirmed: bool,
}

/// The ceilings of one account, from declarations that took effect and from those whose outcome is
/// unknown.
#[derive(Debug, Clone, Default)]
pub(super) struct Ceilings {
    stored: Vec<StoredCeiling>,
    witnessed: Vec<WitnessedCeiling>,
}

impl Ceilings {
    /// Adds the ceiling of a declaration that is about to be committed to the store. `known_at` is
    /// when the store's time that it states was received.
    pub(super) fn begin(
        &mut self,
        number: u64,
        growth: Growth,
        known_at: Option<Timestamp>,
        has_witness: bool,
    ) {
        let (used, received) = (0, 0);
        self.stored.push(StoredCeiling { number, growth, known_at, used, received, has_witness });
    }

    /// Ends a commit. A declaration that took effect replaces all earlier ones. Declarations that were
    /// made to witnesses since it was sent stay in force: the next process relies on them.
    pub(super) fn finish(&mut self, number: u64, is_applied: bool) {
        self.stored.retain(|it| (it.number == number) == is_applied);
        if is_applied {
            self.witnessed.retain(|it| it.last_commit >= number);
        }
    }

    /// Adds the ceiling of a declaration that is about to be sent to the witnesses. `last_commit` is
    /// the number of the last commit that was sent to the store.
    pub(super) fn begin_witnessed(&mut self, number: u64, last_commit: u64, ceiling: u64) {
        let (remaining, is_confirmed) = (ceiling, false);
        self.witnessed.push(WitnessedCeiling { number, last_commit, remaining, is_confirmed });
    }

    /// Marks a declaration as confirmed by enough witnesses; it replaces the earlier ones to
    /// witnesses.
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
        for it in &mut self.stored {
            it.used = it.used.saturating_add(tokens);
        }
        for it in &mut self.witnessed {
            it.remaining = it.remaining.saturating_sub(tokens);
        }
    }

    /// Adds tokens that were received and are not in any declaration.
    pub(super) fn add(&mut self, tokens: u64) {
        for it in &mut self.stored {
            it.received = it.received.saturating_add(tokens);
        }
        for it in &mut self.witnessed {
            it.remaining = it.remaining.saturating_add(tokens);
        }
    }

    /// Returns whether a declaration to witnesses could allow more tokens to be spent or lent.
    pub(super) fn can_witness_raise(&self, now: Timestamp) -> bool {
        let cap = self.stored.iter().filter_map(|it| it.remaining(now)).min();
        cap.is_none_or(|cap| self.remaining(now).is_some_and(|it| it < cap))
    }

    /// Returns the tokens that may still be spent or lent; `None` if no ceiling is in force.
    pub(super) fn remaining(&self, now: Timestamp) -> Option<u64> {
        // The next process may find any of the rows, and ignores declarations that were made to
        // witnesses before it.
        let confirmed = self.witnessed.iter().filter(|it| it.is_confirmed);
        let confirmed_after = confirmed.map(|it| it.last_commit).max();
        let mut in_need = self.stored.iter().filter(|it| it.needs_witness(now));
        if in_need.any(|it| confirmed_after.is_none_or(|last_commit| last_commit < it.number)) {
            return Some(0);
        }
        let stored = self.stored.iter().filter_map(|it| it.remaining(now)).min();
        let witnessed = self.witnessed.iter().map(|it| it.remaining).min();
        stored.into_iter().chain(witnessed).min()
    }
}

/// What a row says of the tokens that its writer has certainly not spent or lent.
impl HoldingsRow {
    /// Returns the time for which the writer spends without witnesses.
    pub fn unwitnessed_time(&self) -> Duration {
        self.unwitnessed_ms.map_or(EARLIER_VALIDITY, Duration::from_millis)
    }

    /// Returns the time for which the ceilings hold whatever witnesses have confirmed.
    pub fn cap_time(&self) -> Duration {
        self.cap_ms.map_or(EARLIER_VALIDITY, Duration::from_millis)
    }
}

impl Holding {
    /// Creates a holding with a growing ceiling.
    pub(super) fn with_growth(held: u64, growth: Growth) -> Holding {
        let growth = Growth { start: growth.start.min(held), ..growth };
        Holding {
            held,
            ceiling: growth.at(EARLIER_VALIDITY).min(held),
            start: Some(growth.start),
            per_second: growth.per_second,
            later_per_second: growth.later_per_second,
        }
    }

    /// Returns how the ceiling grows.
    pub(super) fn growth(&self) -> Growth {
        let (per_second, later_per_second) = (self.per_second, self.later_per_second);
        let growing = self.start.map(|start| Growth { start, per_second, later_per_second });
        growing.unwrap_or(Growth::constant(self.ceiling))
    }

    /// Returns the tokens that are neither spent nor lent until the declaration has this age.
    pub fn kept_until(&self, age: Duration) -> u64 {
        self.held.saturating_sub(self.growth().at(age))
    }
}
