//! Carries a contender for a lease: reads and writes its row.

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
    configuration::{read_row, store_corrupt},
    peers::Peers,
};

/// Mean time between two reads of the lease's row.
const LEASE_INTERVAL: Duration = Duration::from_millis(2_500);

/// Carries a contender for a lease.
pub(crate) struct LeaseHolder {
    /// Name of the job.
    job: &'static str,
    /// Decides.
    keeper: Mutex<LeaseContender>,
    /// Table.
    table: Arc<dyn Table>,
    /// Clock.
    clock: Clock,
    /// Whether the router is leaving and no longer contends.
    is_released: AtomicBool,
}

impl LeaseHolder {
    /// Creates the contender of router `me` for the lease of `job`.
    pub(super) fn new(
        job: &'static str,
        me: RouterId,
        table: Arc<dyn Table>,
        clock: Clock,
    ) -> LeaseHolder {
        let keeper = Mutex::new(LeaseContender::new(job, me, LeaseSettings::default()));
        LeaseHolder { job, keeper, table, clock, is_released: AtomicBool::new(false) }
    }

    /// Returns the fencing number of the lease where this process holds it now.
    pub(super) fn held(&self) -> Option<FencingNumber> {
        self.lock().held(self.clock.now())
    }

    /// Contends for the lease for as long as the router lives.
    pub(super) async fn run(self: Arc<Self>, peers: Arc<dyn Peers>) {
        while !self.is_released.load(Ordering::Relaxed) {
            let contends = self.held().is_some() || is_candidate(self.job, &peers.view());
            if contends && let Err(error) = self.step().await {
                log::debug!(job = self.job; "lease not read: {error}");
            }
            tokio::time::sleep(jitter(LEASE_INTERVAL, &mut new_rng())).await;
        }
    }

    /// Gives the lease up, if it is held.
    pub(super) async fn release(&self) {
        self.is_released.store(true, Ordering::Relaxed);
        let Ok(row) = self.read().await else { return };
        let commit = self.lock().release(row);
        if let Some(commit) = commit {
            // Where it fails, the lease lapses by itself.
            self.table.commit(&commit).await;
        }
    }

    async fn step(&self) -> Result<()> {
        // The time before the read: what is read may be older than the answer.
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
        Ok(Some((row.decode().map_err(store_corrupt)?, row.revision)))
    }

    fn lock(&self) -> MutexGuard<'_, LeaseContender> {
        self.keeper.lock().expect("no holder of the lock panics")
    }
}
