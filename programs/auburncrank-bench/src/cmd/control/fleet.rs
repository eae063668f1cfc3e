//! Simulated routers.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use router::configuration::{ConfigHandle, run_config_poller, start_config_spread};
use standins::MemoryTable;
use tokio::{runtime::Handle, task::JoinHandle};
use utils::{Rng, seeded_rng};

use super::{gated_table::GatedTable, network::Network};

/// Time within which the routers of a fleet start.
const START_SPREAD_MS: u64 = 500;

/// How routers learn of accepted versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Way {
    /// By polling the table alone: the baseline.
    Polling,
    /// By polling, and from each other.
    Peers,
}

/// A simulated router: the configuration part of a router process.
pub(super) struct SimRouter {
    /// The table as it sees it.
    table: GatedTable,
    /// Configuration in force on it.
    pub(super) cfg: ConfigHandle,
    /// Its present process.
    process: JoinHandle<()>,
}

/// Simulated routers.
pub(super) struct Fleet {
    /// The routers.
    pub(super) routers: Vec<SimRouter>,
    /// The network between them.
    network: Network,
    /// How they learn of accepted versions.
    way: Way,
    /// Draws the times of starts.
    rng: Rng,
}

impl Way {
    /// Returns the name of the way in results.
    pub(super) fn name(self) -> &'static str {
        match self {
            Way::Polling => "polling",
            Way::Peers => "peers",
        }
    }
}

impl Fleet {
    /// Starts `count` routers over `table`.
    pub(super) fn start(count: usize, way: Way, table: &MemoryTable, seed: u64) -> Fleet {
        let network = Network::new(count, seed);
        let mut fleet = Fleet { routers: Vec::new(), network, way, rng: seeded_rng(seed) };
        for number in 0..count {
            let router = fleet.start_router(number, GatedTable::new(table.clone()), Duration::ZERO);
            fleet.routers.push(router);
        }
        fleet
    }

    /// Restarts all routers at once; each is away for at least `pause`.
    pub(super) fn restart_all(&mut self, pause: Duration) {
        (0..self.routers.len()).for_each(|number| self.restart(number, pause));
    }

    /// Restarts a router, which is away for at least `pause`.
    pub(super) fn restart(&mut self, number: usize, pause: Duration) {
        self.routers[number].process.abort();
        let table = self.routers[number].table.clone();
        self.routers[number] = self.start_router(number, table, pause);
    }

    /// Cuts the second half of the routers off from the table and from the first half,
    /// or ends that.
    pub(super) fn set_half_cut(&self, is_cut: bool) {
        let half = self.routers.len() / 2;
        self.routers[half..].iter().for_each(|router| router.table.set_cut(is_cut));
        self.network.set_split(is_cut);
    }

    /// Lets the routers hear each other's heartbeats.
    pub(super) fn beat(&self) {
        let cfgs: Vec<_> = self.routers.iter().map(|router| router.cfg.clone()).collect();
        self.network.beat(&cfgs);
    }

    fn start_router(&mut self, number: usize, table: GatedTable, pause: Duration) -> SimRouter {
        let cfg = ConfigHandle::new();
        let delay = pause + Duration::from_millis(self.rng.random_range(0..START_SPREAD_MS));
        let rng = seeded_rng(self.rng.random());
        let peers = self.network.connect(number);
        let (handle, polled, way) = (cfg.clone(), Arc::new(table.clone()), self.way);
        let process = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if way == Way::Peers {
                start_config_spread(handle.clone(), peers.clone(), rng, &Handle::current());
            }
            run_config_poller(handle, polled, peers).await;
        });
        SimRouter { table, cfg, process }
    }
}
