//! Command line of the demo.

use log::LevelFilter;
use settings::{ProgramSpec, ProgramStart, SettingFaults, SettingSpec, SettingValues};

const SPEC: ProgramSpec = ProgramSpec {
    name: "auburncrank-demo",
    about: "Runs stand-ins, three routers and callers in one process; kills one router and \
        drains another, and checks every answer, bill and run.",
    arguments: "",
    details: "The last line of the output is one line of JSON with the counts.\n\n\
        Exit codes:\n  0  every check holds\n  1  a check failed, or a part did not start\n  \
        2  faults in the settings",
    settings: &[
        SettingSpec {
            flag: "seed",
            env: "AUBURNCRANK_DEMO_SEED",
            value: "NUMBER",
            default: Some("1"),
            help: "Seed of the requests and their pauses.",
        },
        SettingSpec {
            flag: "serve",
            env: "AUBURNCRANK_DEMO_SERVE",
            value: "",
            default: None,
            help: "Sends no requests; leaves the routers running and prints addresses and keys.",
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
    /// Seed of the requests.
    pub(crate) seed: u64,
    /// Whether to serve until a signal instead of sending requests.
    pub(crate) serve: bool,
    /// Lowest level that is logged.
    pub(crate) log_level: LevelFilter,
}

/// Reads the command line and the environment; prints help and faults.
pub(crate) fn read_command_line() -> ProgramStart<DemoSettings> {
    SPEC.start(read_settings)
}

fn read_settings(values: &SettingValues, faults: &mut SettingFaults) -> Option<DemoSettings> {
    // Each setting is read before any is missed, so that all faults come together.
    let seed = values.parse("seed", faults);
    let log_level = values.parse("log-level", faults);
    Some(DemoSettings { seed: seed?, serve: values.is_on("serve"), log_level: log_level? })
}
