//! Propagation of accepted configurations to the routers, on simulated time.
//!
//! Reading, planning, confirming and polling run the production code of the routers. The table and
//! the time are simulated, so the same seed gives the same rows.

mod fleet;
mod gated_table;
mod network;
mod observer;
mod operators;
mod scenario;

use serde::Serialize;

use self::{
    fleet::SpreadMode,
    scenario::{SCENARIOS, Scenario},
};
use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Numbers of routers.
const ROUTER_COUNTS: [usize; 2] = [8, 64];

/// Result of one run.
#[derive(Debug, Serialize)]
struct ControlRow {
    /// Name of the scenario.
    scenario: &'static str,
    /// How routers learn of accepted versions.
    way: &'static str,
    /// Number of routers.
    routers: usize,
    /// Number of accepted changes.
    accepted: usize,
    /// Number of plans refused as stale.
    conflicts: usize,
    /// Median time from the acceptance of a change until it is in force on a router, over all
    /// changes and routers, in milliseconds. For a router that was cut off, the time starts at the
    /// end of the partition.
    time_to_force_p50_ms: u64,
    /// Longest time from the acceptance of a change until it is in force on a router, in
    /// milliseconds.
    time_to_force_max_ms: u64,
    /// Number of times that a router replaced a version in force with an older one.
    reverts: usize,
    /// Number of accepted changes that at least one router lacks at the end.
    lost_changes: usize,
    /// Table reads by all routers and operators, per simulated second.
    table_reads_per_s: f64,
}

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    for scenario in SCENARIOS.iter().filter(|scenario| options.includes(scenario.name)) {
        for routers in ROUTER_COUNTS {
            for spread_mode in [SpreadMode::Polling, SpreadMode::Peers] {
                print_row(&run_scenario(scenario, routers, spread_mode, options.seed)?);
            }
        }
    }
    Ok(())
}

fn run_scenario(
    scenario: &Scenario,
    routers: usize,
    spread_mode: SpreadMode,
    seed: u64,
) -> Result<ControlRow, StudyError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(|error| StudyError(error.to_string()))?;
    runtime.block_on(scenario::run(scenario, routers, spread_mode, seed))
}
