//! Growth of control-plane cost, as line fits against the numbers of routers, client accounts,
//! endpoints and requests in flight, and against the request rate.

mod alone;
mod configuration;
mod fit;
mod membership;
mod table;

use crate::{cli::StudyOptions, cmd::StudyError, output::print_row};

/// Runs the study.
pub(crate) fn run(options: &StudyOptions) -> Result<(), StudyError> {
    type Measure = fn(u64) -> Result<Vec<fit::Slope>, StudyError>;
    let scenarios: [(&str, Measure); 3] = [
        ("membership", membership::measure),
        ("configuration", configuration::measure),
        ("table", table::measure),
    ];
    for (name, measure) in scenarios {
        if options.includes(name) {
            for slope in measure(options.seed)? {
                print_row(&slope);
            }
        }
    }
    Ok(())
}
