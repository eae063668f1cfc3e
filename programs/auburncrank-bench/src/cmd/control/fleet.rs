//! Simulated routers.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use router::configuration::{ConfigHandle, run_config_poller};
use standins::MemoryTable;
use tokio::task::JoinHandle;
use utils::Rng;

use super::{fleet_peers::FleetPeers, gated_table::GatedTable};

/// Time within which the routers of a fleet start.
const START_SPREAD_MS: u64 = 500;

/// A simulated router: the configuration part of a router process.
pub(super) struct SimRouter {
    /// The table as it sees it.
    pub(super) table: GatedTable,
    /// Configuration in force on it.
    pub(super) cfg: ConfigHandle,
    /// Its poller.
    poller: JoinHandle<()>,
}

/// Simulated routers.
pub(super) struct Fleet {
    /// The routers.
    pub(super) routers: Vec<SimRouter>,
    /// Draws the times of starts.
    rng: Rng,
}

impl Fleet {
    /// Starts `count` routers over `table`.
    pub(super) fn start(count: usize, table: &MemoryTable, seed: u64) -> Fleet {
        let mut rng = utils::seeded_rng(seed);
        let start = |index| {
            let table = GatedTable::new(table.clone());
            let delay = Duration::from_millis(rng.random_range(0..START_SPREAD_MS));
            SimRouter::start(table, count, index, delay)
        };
        let routers = (0..count).map(start).collect();
        Fleet { routers, rng }
    }

    /// Restarts all routers at once; each is away for at least `pause`.
    pub(super) fn restart_all(&mut self, pause: Duration) {
        let count = self.routers.len();
        for (index, router) in self.routers.iter_mut().enumerate() {
            router.poller.abort();
            let delay = pause + Duration::from_millis(self.rng.random_range(0..START_SPREAD_MS));
            *router = SimRouter::start(router.table.clone(), count, index, delay);
        }
    }

    /// Cuts the second half of the routers off, or ends that.
    pub(super) fn set_half_cut(&self, is_cut: bool) {
        let half = self.routers.len() / 2;
        self.routers[half..].iter().for_each(|router| router.table.set_cut(is_cut));
    }
}

impl SimRouter {
    fn start(table: GatedTable, fleet: usize, index: usize, delay: Duration) -> SimRouter {
        let cfg = ConfigHandle::new();
        let (handle, polled) = (cfg.clone(), Arc::new(table.clone()));
        let poller = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            run_config_poller(handle, polled, Arc::new(FleetPeers::new(fleet, index))).await;
        });
        SimRouter { table, cfg, poller }
    }
}
