//! The table as one router sees it.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use async_trait::async_trait;
use platform::{Commit, CommitOutcome, Key, PlatformError, Row, Table};
use standins::MemoryTable;

/// The table as one router sees it: away while the router is cut off.
#[derive(Debug, Clone)]
pub(super) struct GatedTable {
    /// The table.
    table: MemoryTable,
    /// Whether the router is cut off.
    is_cut: Arc<AtomicBool>,
}

impl GatedTable {
    /// Creates the view of a router that is not cut off.
    pub(super) fn new(table: MemoryTable) -> GatedTable {
        GatedTable { table, is_cut: Arc::default() }
    }

    /// Cuts the router off from the table, or ends that.
    pub(super) fn set_cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
    }

    fn check(&self) -> Result<(), PlatformError> {
        let is_cut = self.is_cut.load(Ordering::Relaxed);
        if is_cut { Err(PlatformError::Unavailable) } else { Ok(()) }
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
