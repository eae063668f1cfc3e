//! The evidence on one key.

use std::{collections::BTreeMap, time::Duration};

use types::Timestamp;

use super::{ContentItem, ContentKey, CrashId, trial::TrialSchedule};

/// Maximum number of crashes in a record.
const CRASHES_MAX: usize = 16;

/// Maximum of the count of survivals in a record; more would change no verdict.
pub(super) const SURVIVALS_MAX: u32 = 32;

/// Crashes within this time count as one: a power loss ends many endpoints at once, and with them
/// several requests that have something in common.
const SAME_CAUSE_TIME: Duration = Duration::from_millis(300);

/// Number of crashes that one survival outweighs.
const CRASHES_PER_SURVIVAL: u32 = 4;

/// Crashes, less those that survivals outweigh, at which a key is condemned.
const CONDEMNING_CRASHES: u32 = 3;

/// A crash and the time since then.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CrashSighting {
    /// Id of the crash.
    pub crash: CrashId,
    /// Time since a router noticed it.
    pub age: Duration,
}

/// What routers tell each other about one key, and what the table stores of a verdict.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvidenceReport {
    /// What the evidence is about.
    pub item: ContentItem,
    /// Hash of the client account whose request was the first that was suspected.
    pub account: u64,
    /// Crashes of endpoints with a request that contained the key and had not been answered.
    pub crashes: Vec<CrashSighting>,
    /// Number of answered requests that contained the key, up to a limit.
    pub survivals: u32,
    /// Number of trials since the key was condemned.
    pub trials: u32,
    /// Time since the verdict or the last trial.
    pub tested_age: Duration,
}

/// The evidence on one key. Merging is commutative and idempotent.
#[derive(Debug)]
pub(super) struct Record {
    /// What the evidence is about.
    pub(super) item: ContentItem,
    /// Hash of the client account whose request was the first that was suspected.
    pub(super) account: u64,
    /// Crashes with the time at which they were noticed, in milliseconds; negative if that was before
    /// the start of this router's clock. At most `CRASHES_MAX`.
    crashes: BTreeMap<CrashId, i64>,
    /// Number of answered requests, at most [`SURVIVALS_MAX`].
    survivals: u32,
    /// When the evidence last changed.
    pub(super) changed_at: Timestamp,
    /// When requests with the key may run again to test the verdict.
    pub(super) trial: TrialSchedule,
}

impl Record {
    /// Creates a record without evidence.
    pub(super) fn new(item: ContentItem, account: u64, now: Timestamp) -> Record {
        Record {
            item,
            account,
            crashes: BTreeMap::new(),
            survivals: 0,
            changed_at: now,
            trial: TrialSchedule::default(),
        }
    }

    /// Returns the key.
    pub(super) fn key(&self) -> ContentKey {
        self.item.key
    }

    /// Returns the number of crashes and of survivals.
    pub(super) fn counts(&self) -> (usize, u32) {
        (self.crashes.len(), self.survivals)
    }

    /// Adds a crash; returns whether it is new.
    pub(super) fn add_crash(&mut self, crash: CrashId, age: Duration, now: Timestamp) -> bool {
        if self.crashes.contains_key(&crash) || self.crashes.len() >= CRASHES_MAX {
            return false;
        }
        self.crashes.insert(crash, signed_millis(now).saturating_sub(duration_millis(age)));
        self.changed_at = now;
        true
    }

    /// Raises the number of survivals to `count`; returns whether it changed.
    pub(super) fn raise_survivals(&mut self, count: u32, now: Timestamp) -> bool {
        let count = count.min(SURVIVALS_MAX);
        if count <= self.survivals {
            return false;
        }
        self.survivals = count;
        self.changed_at = now;
        true
    }

    /// Returns the number of survivals that outweighs all crashes.
    pub(super) fn acquitting_survivals(&self) -> u32 {
        let crashes = u32::try_from(self.crashes.len()).unwrap_or(u32::MAX);
        crashes.div_ceil(CRASHES_PER_SURVIVAL).max(self.survivals + 1)
    }

    /// Returns the number of crashes that survivals do not outweigh.
    pub(super) fn weight(&self) -> u32 {
        self.distinct_crashes().saturating_sub(self.survivals.saturating_mul(CRASHES_PER_SURVIVAL))
    }

    /// Reports whether the evidence is enough for a verdict, unless the crashes have a deeper cause.
    pub(super) fn is_conclusive(&self) -> bool {
        self.weight() >= CONDEMNING_CRASHES
    }

    /// Returns the ids of the crashes.
    pub(super) fn crash_ids(&self) -> impl Iterator<Item = CrashId> {
        self.crashes.keys().copied()
    }

    /// Reports whether the other record has all crashes of this one.
    pub(super) fn is_covered_by(&self, other: &Record) -> bool {
        self.crashes.keys().all(|it| other.crashes.contains_key(it))
    }

    /// Returns what other routers are told.
    pub(super) fn report(&self, now: Timestamp) -> EvidenceReport {
        let crashes = self.crashes.iter();
        EvidenceReport {
            item: self.item,
            account: self.account,
            crashes: crashes
                .map(|(crash, at)| CrashSighting { crash: *crash, age: age_of(*at, now) })
                .collect(),
            survivals: self.survivals,
            trials: self.trial.trials,
            tested_age: now.since(self.trial.tested_at),
        }
    }

    /// Counts crashes that are at least [`SAME_CAUSE_TIME`] apart.
    fn distinct_crashes(&self) -> u32 {
        let mut times: Vec<i64> = self.crashes.values().copied().collect();
        times.sort_unstable();
        let mut counted = 0;
        let mut last: Option<i64> = None;
        for at in times {
            if last.is_none_or(|it| at - it >= duration_millis(SAME_CAUSE_TIME)) {
                counted += 1;
                last = Some(at);
            }
        }
        counted
    }
}

fn duration_millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}

fn signed_millis(at: Timestamp) -> i64 {
    duration_millis(at.since(Timestamp::ZERO))
}

fn age_of(at: i64, now: Timestamp) -> Duration {
    Duration::from_millis(u64::try_from(signed_millis(now).saturating_sub(at)).unwrap_or(0))
}
