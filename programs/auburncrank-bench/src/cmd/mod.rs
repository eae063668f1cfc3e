//! The studies, one module each.

mod budgets;
mod control;
mod membership;
mod path;
mod routing;

use crate::cli::StudyOptions;

/// A study.
pub(crate) struct Study {
    /// Name of the subcommand.
    pub(crate) name: &'static str,
    /// What it measures, in one line.
    pub(crate) about: &'static str,
    /// Runs it and prints its rows.
    pub(crate) run: fn(&StudyOptions) -> Result<(), StudyError>,
}

/// Why a study failed.
#[derive(Debug, thiserror::Error)]
#[error("{0}")]
pub(crate) struct StudyError(pub(crate) String);

/// All studies.
pub(crate) const STUDIES: &[Study] = &[
    Study {
        name: "budgets",
        about: "Overspend and false refusals under faults, on simulated time.",
        run: budgets::run,
    },
    Study {
        name: "control",
        about: "Acceptance and spread of configurations, on simulated time.",
        run: control::run,
    },
    Study {
        name: "membership",
        about: "Traffic, processor time and detection times of the failure detector.",
        run: membership::run,
    },
    Study {
        name: "path",
        about: "Streams through a router against the same engine directly.",
        run: path::run,
    },
    Study {
        name: "routing",
        about: "Choice of endpoints against baselines, on simulated time.",
        run: routing::run,
    },
];
