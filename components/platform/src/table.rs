//! The transactional table service.

use std::time::Duration;

use async_trait::async_trait;

use crate::{Commit, CommitOutcome, Key, PlatformError, Row};

/// Maximum number of rows that one scan returns.
pub const SCAN_MAX_ROWS: usize = 1_000;

/// A reading of the table's monotonic clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreTime {
    /// Clock reading, in milliseconds.
    pub millis: u64,
    /// Time since the reading was received. The table's clock has advanced by at least as much.
    pub age: Duration,
}

/// Era of a table's contents, as the table states it. It changes when the table comes back from an
/// older copy: acknowledged commits may be missing then, and their revisions are given out again, so
/// that revisions of different eras cannot be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Era(pub u64);

/// The platform's transactional table service. Calls are linearizable within an era.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads the rows of `keys`, in the same order; `None` for a key without a row.
    ///
    /// # Errors
    /// If the table was not reached or refused the call.
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError>;

    /// Reads at most [`SCAN_MAX_ROWS`] rows whose keys start with `prefix` and come after
    /// `after`, ordered by key.
    ///
    /// # Errors
    /// If the table was not reached or refused the call.
    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError>;

    /// Commits `commit`. An [`Unknown`](CommitOutcome::Unknown) outcome is resolved by reading
    /// a row that only this commit writes.
    async fn commit(&self, commit: &Commit) -> CommitOutcome;

    /// Returns the era that the table last stated; `None` if it states none.
    fn era(&self) -> Option<Era> {
        None
    }

    /// Returns the latest reading of the table's clock; `None` if the table has no clock.
    fn store_time(&self) -> Option<StoreTime> {
        None
    }
}
