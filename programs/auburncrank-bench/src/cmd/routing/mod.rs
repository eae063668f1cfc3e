//! Choice of endpoints against baselines, on simulated time: the same seed gives the
//! same rows.
//!
//! The engines are the batching of the stand-in; the routers do not see each other's
//! work, and load reports lag.

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
