//! Spread of accepted configurations, on simulated time.
//!
//! The routers' own code reads, plans, confirms and polls; the table and the time are
//! simulated, so that the same seed gives the same rows.

mod fleet;
mod gated_table;
mod network;
mod observer;
mod operators;
mod scenario;

use serde::Serialize;

use self::{
    fleet::Way,
    scenario::{SCENARIOS, Scenario},
};
use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Sizes of the fleet, in routers.
const FLEETS: [usize; 2] = [8, 64];

/// Result of one run.
#[derive(Debug, Serialize)]
struct ControlRow {
    /// Scenario.
    scenario: &'static str,
    /// How routers learn of accepted versions.
    way: &'static str,
    /// Routers.
    routers: usize,
    /// Accepted changes.
    accepted: usize,
    /// Plans refused as stale.
    conflicts: usize,
    /// Median time from acceptance until a change is in force on a router, over all
    /// changes and routers, in milliseconds. A router that is cut off counts from the
    /// end of the partition.
    time_to_force_p50_ms: u64,
    /// Longest such time, in milliseconds.
    time_to_force_max_ms: u64,
    /// Times that a router had an older version in force than before.
    reverts: usize,
    /// Accepted changes that are missing at the end on some router.
    lost_changes: usize,
    /// Reads of the table by all routers and operators, per simulated second.
    table_reads_per_s: f64,
}

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    for scenario in SCENARIOS.iter().filter(|scenario| options.includes(scenario.name)) {
        for routers in FLEETS {
            for way in [Way::Polling, Way::Peers] {
                print_row(&run_scenario(scenario, routers, way, options.seed)?);
            }
        }
    }
    Ok(())
}

fn run_scenario(
    scenario: &Scenario,
    routers: usize,
    way: Way,
    seed: u64,
) -> Result<ControlRow, StudyError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .map_err(|error| StudyError(error.to_string()))?;
    runtime.block_on(scenario::run(scenario, routers, way, seed))
}
