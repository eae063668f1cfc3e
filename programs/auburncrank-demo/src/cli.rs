//! Command line of the demo: settings and help text.

use log::LevelFilter;
use settings::{ProgramSpec, ProgramStart, SettingFaults, SettingSpec, SettingValues};

const SPEC: ProgramSpec = ProgramSpec {
    name: "auburncrank-demo",
    about: "Runs stand-ins, three routers and callers in one process; kills one router, drains \
        another, and checks every answer, bill and run.",
    arguments: "",
    details: "The last line of the output is a JSON object with the counts.\n\n\
        Exit codes:\n  0  all checks passed\n  1  a check failed, or a component did not start\n  \
        2  invalid settings",
    settings: &[
        SettingSpec {
            flag: "seed",
            env: "AUBURNCRANK_DEMO_SEED",
            value: "NUMBER",
            default: Some("1"),
            help: "Seed of the requests and of the pauses between them.",
        },
        SettingSpec {
            flag: "serve",
            env: "AUBURNCRANK_DEMO_SERVE",
            value: "",
            default: None,
            help: "Sends no requests, but keeps the routers running and prints addresses and keys.",
        },
        SettingSpec {
            flag: "log-level",
            env: "AUBURNCRANK_LOG_LEVEL",
            value: "LEVEL",
            default: Some("error"),
            help: "Lowest level that is logged: error, warn, info, debug or trace.",
        },
    ],
};

/// Settings of the demo.
#[derive(Debug, Clone)]
pub(crate) struct DemoSettings {
    /// Seed of the requests and of the pauses between them.
    pub(crate) seed: u64,
    /// Whether to serve until a signal instead of sending requests.
    pub(crate) serve: bool,
    /// Lowest level of the messages that are logged.
    pub(crate) log_level: LevelFilter,
}

/// Reads the command line and the environment; prints the help text or the faults.
pub(crate) fn read_command_line() -> ProgramStart<DemoSettings> {
    SPEC.start(read_settings)
}

fn read_settings(values: &SettingValues, faults: &mut SettingFaults) -> Option<DemoSettings> {
    // Parses every setting before returning early for a missing one, so that all faults are
    // reported together.
    let seed = values.parse("seed", faults);
    let log_level = values.parse("log-level", faults);
    Some(DemoSettings { seed: seed?, serve: values.is_on("serve"), log_level: log_level? })
}
