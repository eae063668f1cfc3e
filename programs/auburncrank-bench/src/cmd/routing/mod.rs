//! Choice of endpoints compared with baselines, on simulated time. The same seed gives the same
//! rows.
//!
//! The engines use the batching of the engine stand-in. A router does not see the requests of the
//! other routers, and load reports are delayed.

mod baseline;
mod deployment;
mod measurement;
mod request;
mod router_policy;
mod scenario;
mod sim_engine;
mod simulation;
mod workload;

use self::{measurement::RoutingRow, router_policy::PolicyName, scenario::SCENARIOS};
use super::StudyError;
use crate::{cli::StudyOptions, output::print_row};

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    for scenario in SCENARIOS.iter().filter(|it| options.includes(it.name)) {
        for policy in PolicyName::ALL {
            let row: RoutingRow = simulation::simulate(scenario, policy, options.seed);
            print_row(&row);
        }
    }
    Ok(())
}
