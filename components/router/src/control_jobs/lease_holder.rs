//! Contends for a lease by reading and writing its row.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use errors::Result;
use leases::{LeaseContender, LeaseRow, LeaseSettings};
use platform::{Revision, Table};
use types::{FencingNumber, RouterId};
use utils::{jitter, new_rng};

use super::candidates::is_candidate;
use crate::{
    Clock,
    configuration::{corrupt_row_error, read_row},
    peers::Peers,
};

/// Mean interval between two reads of the lease's row.
const LEASE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Task that contends for a lease on behalf of this router.
pub(crate) struct LeaseTask {
    /// Name of the job that the lease protects.
    job: &'static str,
    /// Decides when to acquire, renew and release the lease.
    contender: Mutex<LeaseContender>,
    /// Table that holds the lease's row.
    table: Arc<dyn Table>,
    /// Clock that the validity of the lease is measured by.
    clock: Clock,
    /// Whether the lease was released because the router is leaving; it no longer contends.
    is_released: AtomicBool,
}

impl LeaseTask {
    /// Creates the task in which router `router_id` contends for the lease of `job`.
    pub(super) fn new(
        job: &'static str,
        router_id: RouterId,
        table: Arc<dyn Table>,
        clock: Clock,
    ) -> LeaseTask {
        let contender = Mutex::new(LeaseContender::new(job, router_id, LeaseSettings::default()));
        LeaseTask { job, contender, table, clock, is_released: AtomicBool::new(false) }
    }

    /// Returns the fencing number of the lease if this process currently holds it.
    pub(super) fn held(&self) -> Option<FencingNumber> {
        self.lock().held(self.clock.now())
    }

    /// Contends for the lease until it is released or the process ends.
    pub(super) async fn run(self: Arc<Self>, peers: Arc<dyn Peers>) {
        while !self.is_released.load(Ordering::Relaxed) {
            let contends = self.held().is_some() || is_candidate(self.job, &peers.view());
            if contends && let Err(error) = self.poll_row().await {
                log::debug!(job = self.job; "failed to read the lease: {error}");
            }
            tokio::time::sleep(jitter(LEASE_INTERVAL, &mut new_rng())).await;
        }
    }

    /// Stops contending and releases the lease if it is held.
    pub(super) async fn release(&self) {
        self.is_released.store(true, Ordering::Relaxed);
        let Ok(row) = self.read().await else { return };
        let commit = self.lock().release(row);
        if let Some(commit) = commit {
            // If the commit fails, the lease expires on its own.
            self.table.commit(&commit).await;
        }
    }

    async fn poll_row(&self) -> Result<()> {
        // Takes the time before the read, because the answer may arrive long after the table has
        // read the row.
        let now = self.clock.now();
        let row = self.read().await?;
        let commit = self.lock().on_read(now, row);
        if let Some(commit) = commit {
            let outcome = self.table.commit(&commit).await;
            self.lock().on_outcome(&outcome);
        }
        Ok(())
    }

    async fn read(&self) -> Result<Option<(LeaseRow, Revision)>> {
        let key = self.lock().key().clone();
        let Some(row) = read_row(&*self.table, &key).await? else { return Ok(None) };
        Ok(Some((row.decode().map_err(corrupt_row_error)?, row.revision)))
    }

    fn lock(&self) -> MutexGuard<'_, LeaseContender> {
        self.contender.lock().expect("the lock is not poisoned")
    }
}
