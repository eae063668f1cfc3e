//! Fleet of simulated routers.

use std::{sync::Arc, time::Duration};

use rand::Rng as _;
use router::configuration::{ConfigHandle, run_config_poller, start_config_spread};
use standins::MemoryTable;
use tokio::{runtime::Handle, task::JoinHandle};
use utils::{Rng, seeded_rng};

use super::{gated_table::GatedTable, network::Network};

/// Upper limit of the random delay of a router's start, in milliseconds.
const START_JITTER_MS: u64 = 500;

/// How routers learn of accepted configuration versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SpreadMode {
    /// Only by polling the table. This is the baseline.
    Polling,
    /// By polling the table, and from each other.
    Peers,
}

/// A simulated router, which runs only the configuration tasks of a router process.
pub(super) struct SimRouter {
    /// The router's access to the table.
    table: GatedTable,
    /// Configuration in force on the router.
    pub(super) cfg: ConfigHandle,
    /// Task that stands for the router's current process.
    process: JoinHandle<()>,
}

/// A fleet of simulated routers.
pub(super) struct Fleet {
    /// The routers, by number.
    pub(super) routers: Vec<SimRouter>,
    /// The network between them.
    network: Network,
    /// How the routers learn of accepted versions.
    spread_mode: SpreadMode,
    /// Draws the delays of starts and the seeds of the routers.
    rng: Rng,
}

impl SpreadMode {
    /// Returns the name in the output.
    pub(super) fn name(self) -> &'static str {
        match self {
            SpreadMode::Polling => "polling",
            SpreadMode::Peers => "peers",
        }
    }
}

impl Fleet {
    /// Starts `count` routers that share `table`.
    pub(super) fn start(
        count: usize,
        spread_mode: SpreadMode,
        table: &MemoryTable,
        seed: u64,
    ) -> Fleet {
        let network = Network::new(count, seed);
        let mut fleet = Fleet { routers: Vec::new(), network, spread_mode, rng: seeded_rng(seed) };
        for number in 0..count {
            let router = fleet.start_router(number, GatedTable::new(table.clone()), Duration::ZERO);
            fleet.routers.push(router);
        }
        fleet
    }

    /// Restarts all routers at the same time; each is down for at least `downtime`.
    pub(super) fn restart_all(&mut self, downtime: Duration) {
        (0..self.routers.len()).for_each(|number| self.restart(number, downtime));
    }

    /// Restarts a router, which is down for at least `downtime`.
    pub(super) fn restart(&mut self, number: usize, downtime: Duration) {
        self.routers[number].process.abort();
        let table = self.routers[number].table.clone();
        self.routers[number] = self.start_router(number, table, downtime);
    }

    /// Starts or ends a partition that cuts the second half of the routers off from the table and
    /// from the first half.
    pub(super) fn set_partitioned(&self, is_partitioned: bool) {
        let half = self.routers.len() / 2;
        self.routers[half..].iter().for_each(|router| router.table.set_cut_off(is_partitioned));
        self.network.set_partitioned(is_partitioned);
    }

    /// Delivers the heartbeats of the routers, with their configuration versions, to each other.
    pub(super) fn deliver_heartbeats(&self) {
        let cfgs: Vec<_> = self.routers.iter().map(|router| router.cfg.clone()).collect();
        self.network.deliver_heartbeats(&cfgs);
    }

    fn start_router(&mut self, number: usize, table: GatedTable, downtime: Duration) -> SimRouter {
        let cfg = ConfigHandle::new();
        let delay = downtime + Duration::from_millis(self.rng.random_range(0..START_JITTER_MS));
        let rng = seeded_rng(self.rng.random());
        let peers = self.network.connect(number);
        let (handle, polled_table, spread_mode) =
            (cfg.clone(), Arc::new(table.clone()), self.spread_mode);
        let process = tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            if spread_mode == SpreadMode::Peers {
                start_config_spread(handle.clone(), peers.clone(), rng, &Handle::current());
            }
            run_config_poller(handle, polled_table, peers).await;
        });
        SimRouter { table, cfg, process }
    }
}
