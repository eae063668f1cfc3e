//! The store comes back from an older copy while other faults go on.

use std::{ops::Range, time::Duration};

use rand::Rng as _;
use tokio::time::Instant;
use utils::Rng;

use crate::{faults::TimedAction, world::SoakFleet};

/// Range of the age of the copy, in milliseconds.
const COPY_AGE_MS: Range<u64> = 500..5_000;

/// Range of the time after which the endpoints' entries are written again, in milliseconds.
const ENTRIES_MISSING_MS: Range<u64> = 200..1_800;

/// Range of the time between the start of the faults and the return to a copy, in milliseconds.
const RETURN_AT_MS: Range<u64> = 1_500..7_500;

/// Returns whether the store of a seed's run states its era and comes back from older copies.
pub(crate) fn has_older_copies(seed: u64) -> bool {
    seed % 7 == 2
}

/// Returns when the store comes back from an older copy.
pub(crate) fn plan(from: Instant, rng: &mut Rng) -> Vec<(Instant, TimedAction)> {
    let count = rng.random_range(1..=2);
    let action = |rng: &mut Rng| {
        let at = from + Duration::from_millis(rng.random_range(RETURN_AT_MS));
        let age = Duration::from_millis(rng.random_range(COPY_AGE_MS));
        let missing = Duration::from_millis(rng.random_range(ENTRIES_MISSING_MS));
        (at, TimedAction::ReturnToCopy { age, missing })
    };
    (0..count).map(|_| action(rng)).collect()
}

impl SoakFleet {
    /// Lets the store come back from an older copy. Operators write the desired state again at once,
    /// endpoints their entries after `missing`.
    pub(crate) fn return_to_copy(&mut self, age: Duration, missing: Duration) {
        let now = Instant::now();
        let entries = self.store.entries();
        self.store.return_to_copy(age);
        self.write_state();
        self.timed_actions.push((now + missing, TimedAction::WriteEntries(entries)));
        self.faults.push(format!("store comes back from a copy {} ms old", age.as_millis()));
    }
}
