//! The studies, one module for each.

mod budgets;
mod control;
mod membership;
mod path;
mod routing;
mod slopes;

use crate::cli::StudyOptions;

/// An experiment with a subcommand of its own.
pub(crate) struct Study {
    /// Name of the subcommand.
    pub(crate) name: &'static str,
    /// What it measures, in one line.
    pub(crate) about: &'static str,
    /// Runs the study and prints its rows.
    pub(crate) run: fn(&StudyOptions) -> Result<(), StudyError>,
}

/// Reason why a study failed.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct StudyError(pub(crate) String);

/// All studies, in the order of the help text.
pub(crate) const STUDIES: &[Study] = &[
    Study {
        name: "budgets",
        about: "Overspend and false refusals under faults, on simulated time.",
        run: budgets::run,
    },
    Study {
        name: "control",
        about: "Acceptance and propagation of configurations, on simulated time.",
        run: control::run,
    },
    Study {
        name: "membership",
        about: "Traffic, processor time and detection times of the failure detector.",
        run: membership::run,
    },
    Study {
        name: "path",
        about: "Streams through a router compared with streams directly from the engine.",
        run: path::run,
    },
    Study {
        name: "routing",
        about: "Choice of endpoints compared with baselines, on simulated time.",
        run: routing::run,
    },
    Study {
        name: "slopes",
        about: "Growth of control-plane cost with routers, accounts, endpoints and requests.",
        run: slopes::run,
    },
];
