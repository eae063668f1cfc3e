//! Gates that block the operations of a simulated router process while it is paused or dead.

use std::{
    pin::pin,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use platform::{Commit, CommitOutcome, Key, PlatformError, Row, Table};
use standins::MemoryTable;
use tokio::sync::Notify;

/// State of a simulated router process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessState {
    /// The process runs.
    Running,
    /// The process runs, but cannot reach the table.
    TableUnreachable,
    /// The process is paused.
    Paused,
    /// The process has crashed.
    Dead,
}

/// Gate of a simulated router process.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    /// State of the process.
    state: Arc<Mutex<ProcessState>>,
    /// Wakes the waiting operations, in the order in which they started to wait.
    changes: Arc<Notify>,
}

impl Gate {
    /// Creates the gate of a running process.
    pub(crate) fn new() -> Gate {
        let state = Arc::new(Mutex::new(ProcessState::Running));
        Gate { state, changes: Arc::default() }
    }

    /// Sets the state; ignored once the process is dead.
    pub(crate) fn set(&self, state: ProcessState) {
        let mut current = self.state.lock().unwrap();
        if *current != ProcessState::Dead {
            *current = state;
        }
        drop(current);
        self.changes.notify_waiters();
    }

    /// Returns the current state.
    pub(crate) fn get(&self) -> ProcessState {
        *self.state.lock().unwrap()
    }

    /// Waits while the process is paused; never returns if it is dead.
    pub(crate) async fn pass(&self) {
        loop {
            let mut changed = pin!(self.changes.notified());
            changed.as_mut().enable();
            if !matches!(self.get(), ProcessState::Paused | ProcessState::Dead) {
                return;
            }
            changed.await;
        }
    }
}

/// The table as a simulated router process sees it.
pub(crate) struct GatedTable {
    /// Table that all processes share.
    pub(crate) table: MemoryTable,
    /// Gate of the process.
    pub(crate) gate: Gate,
}

impl GatedTable {
    async fn enter(&self) -> Result<(), PlatformError> {
        self.gate.pass().await;
        match self.gate.get() {
            ProcessState::TableUnreachable => Err(PlatformError::Unavailable),
            _ => Ok(()),
        }
    }
}

#[async_trait]
impl Table for GatedTable {
    async fn read(&self, keys: &[Key]) -> Result<Vec<Option<Row>>, PlatformError> {
        self.enter().await?;
        let result = self.table.read(keys).await;
        self.gate.pass().await;
        result
    }

    async fn scan(&self, prefix: &str, after: Option<&Key>) -> Result<Vec<Row>, PlatformError> {
        self.enter().await?;
        let result = self.table.scan(prefix, after).await;
        self.gate.pass().await;
        result
    }

    async fn commit(&self, commit: &Commit) -> CommitOutcome {
        if let Err(error) = self.enter().await {
            return CommitOutcome::NotApplied(error);
        }
        let result = self.table.commit(commit).await;
        self.gate.pass().await;
        result
    }
}
