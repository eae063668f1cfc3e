//! In-memory implementation of the table.

use std::sync::{Arc, Mutex, MutexGuard};

use async_trait::async_trait;
use platform::{Commit, CommitOutcome, Key, PlatformError, Row, Table};
use rand::Rng as _;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use types::Timestamp;
use utils::{Rng, seeded_rng};

use crate::{CallLimits, TableFaults, TableState};

/// Numbers of calls that the table has handled, not counting refused calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableCounts {
    /// Number of reads and scans.
    pub reads: u64,
    /// Number of commits, including those that conflicted or whose answer was lost.
    pub commits: u64,
}

/// An in-memory table with call limits and faults. Clones share the same rows.
#[derive(Debug, Clone)]
pub struct MemoryTable {
    shared: Arc<Mutex<Shared>>,
    /// Time at which the table's clock started.
    start: Instant,
}

#[derive(Debug)]
struct Shared {
    state: TableState,
    limits: CallLimits,
    faults: TableFaults,
    counts: TableCounts,
    /// Determines which answers are lost.
    rng: Rng,
}

/// How a commit is handled under the current limits and faults.
enum Admission {
    Answered,
    AnswerLost,
    Refused(PlatformError),
}

impl MemoryTable {
    /// Creates an empty table. `seed` determines which answers are lost.
    pub fn new(limits: CallLimits, seed: u64) -> MemoryTable {
        let shared = Shared {
            state: TableState::default(),
            limits,
            faults: TableFaults::default(),
            counts: TableCounts::default(),
            rng: seeded_rng(seed),
        };
        MemoryTable { shared: Arc::new(Mutex::new(shared)), start: Instant::now() }
    }

    /// Sets the faults that the table has from now on.
    pub fn set_faults(&self, faults: TableFaults) {
        self.lock().faults = faults;
    }

    /// Returns the number of calls handled so far.
    pub fn counts(&self) -> TableCounts {
        self.lock().counts
    }

    /// Returns all rows whose keys start with `prefix`, bypassing limits and faults. For checks.
    pub fn inspect(&self, prefix: &str) -> Vec<Row> {
        let shared = self.lock();
        let mut rows = shared.state.scan(prefix, None);
        while let Some(last) = rows.last().map(|row| row.key.clone()) {
            let more = shared.state.scan(prefix, Some(&last));
            if more.is_empty() {
                break;
            }
            rows.extend(more);
        }
        rows
    }

    /// Applies a commit, bypassing limits and faults. For the setup of tests.
    pub fn commit_directly(&self, commit: &Commit) -> CommitOutcome {
        self.lock().state.commit(commit)
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("the lock is not poisoned")
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    async fn delay(&self) {
        let delay = self.lock().faults.delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    fn admit_read(&self) -> Result<(), PlatformError> {
        let now = self.now();
        let mut shared = self.lock();
        if shared.faults.down {
            return Err(PlatformError::Unavailable);
        }
        if !shared.limits.reads.try_acquire(now) {
            return Err(PlatformError::RateLimited);
        }
        shared.counts.reads += 1;
        Ok(())
    }

    fn admit_commit(&self) -> Admission {
        let now = self.now();
        let mut shared = self.lock();
        if shared.faults.down {
            return Admission::Refused(PlatformError::Unavailable);
        }
        if !shared.limits.writes.try_acquire(now) {
            return Admission::Refused(PlatformError::RateLimited);
        }
        shared.counts.commits += 1;
        let lost_answers = shared.faults.lost_answers.clamp(0.0, 1.0);
        let is_lost = shared.rng.random_bool(lost_answers);
        if is_lost { Admission::AnswerLost } else { Admission::Answered }
    }
}

#[async_trait]
impl Table for MemoryTable {
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError> {
        self.delay().await;
        self.admit_read()?;
        let shared = self.lock();
        Ok(keys.iter().map(|key| shared.state.read(key)).collect())
    }

    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError> {
        self.delay().await;
        self.admit_read()?;
        Ok(self.lock().state.scan(prefix, after))
    }

    async fn commit(&self, commit: &Commit) -> CommitOutcome {
        self.delay().await;
        match self.admit_commit() {
            Admission::Refused(error) => CommitOutcome::NotApplied(error),
            Admission::Answered => self.lock().state.commit(commit),
            Admission::AnswerLost => {
                self.lock().state.commit(commit);
                CommitOutcome::Unknown
            }
        }
    }
}

#[cfg(test)]
#[path = "memory_table_tests.rs"]
mod tests;
