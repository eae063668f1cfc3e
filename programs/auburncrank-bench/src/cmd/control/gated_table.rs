//! A router's access to the table, which a partition can cut off.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use async_trait::async_trait;
use platform::{Commit, CommitOutcome, Key, PlatformError, Row, Table};
use standins::MemoryTable;

/// A router's access to the table: calls fail as unavailable while the router is cut off.
#[derive(Debug, Clone)]
pub(super) struct GatedTable {
    /// The table.
    table: MemoryTable,
    /// Whether the router is cut off.
    is_cut_off: Arc<AtomicBool>,
}

impl GatedTable {
    /// Creates the access of a router that is not cut off.
    pub(super) fn new(table: MemoryTable) -> GatedTable {
        GatedTable { table, is_cut_off: Arc::default() }
    }

    /// Sets whether the router is cut off from the table.
    pub(super) fn set_cut_off(&self, is_cut_off: bool) {
        self.is_cut_off.store(is_cut_off, Ordering::Relaxed);
    }

    fn check(&self) -> Result<(), PlatformError> {
        let is_cut_off = self.is_cut_off.load(Ordering::Relaxed);
        if is_cut_off { Err(PlatformError::Unavailable) } else { Ok(()) }
    }
}

#[async_trait]
impl Table for GatedTable {
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError> {
        self.check()?;
        self.table.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError> {
        self.check()?;
        self.table.scan(prefix, after).await
    }

    async fn commit(&self, commit: &Commit) -> CommitOutcome {
        match self.check() {
            Ok(()) => self.table.commit(commit).await,
            Err(error) => CommitOutcome::NotApplied(error),
        }
    }
}
