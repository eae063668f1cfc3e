//! The transactional table service.

use std::time::Duration;

use async_trait::async_trait;

use crate::{Commit, CommitOutcome, Key, PlatformError, Row};

/// Most rows that one scan returns.
pub const SCAN_MAX_ROWS: usize = 1_000;

/// A time of the table's steady clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreTime {
    /// The time, in milliseconds.
    pub millis: u64,
    /// How long ago it was received; the clock has gone on for at least as long.
    pub age: Duration,
}

/// The platform's transactional table service. Calls are linearizable.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads the rows of `keys`, in the same order; `None` where there is no row.
    ///
    /// # Errors
    /// Where the table was not reached or refused the call.
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError>;

    /// Reads the rows whose keys start with `prefix` and come after `after`, in the
    /// order of their keys, at most [`SCAN_MAX_ROWS`].
    ///
    /// # Errors
    /// Where the table was not reached or refused the call.
    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError>;

    /// Commits `commit`. An [`Unknown`](CommitOutcome::Unknown) outcome is settled by
    /// reading back a row that only this commit writes.
    async fn commit(&self, commit: &Commit) -> CommitOutcome;

    /// Returns the latest time that the table has told; `None` where it has no clock.
    fn store_time(&self) -> Option<StoreTime> {
        None
    }
}
