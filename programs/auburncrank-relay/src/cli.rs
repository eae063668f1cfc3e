//! Command line of the relay.

use std::path::PathBuf;

use log::LevelFilter;
use platform_adapter::{PlatformSettings, SETTINGS_FILE_VARIABLE};
use settings::{
    LOG_FORMAT_SETTING, LOG_LEVEL_SETTING, ProgramSpec, ProgramStart, SettingFaults, SettingSpec,
    SettingValues,
};
use telemetry::LogFormat;

const SPEC: ProgramSpec = ProgramSpec {
    name: "auburncrank-relay",
    about: "One router of an auburncrank fleet on the users' platform.",
    arguments: "",
    details: "Signals: SIGTERM or SIGINT shuts the router down gracefully; SIGHUP reloads the settings file.\n\n\
        Exit codes:\n  0  shut down gracefully\n  1  could not start\n  2  invalid settings",
    settings: &[
        SettingSpec {
            flag: "settings-file",
            env: SETTINGS_FILE_VARIABLE,
            value: "PATH",
            default: None,
            help: "Settings file, filled in by the platform.",
        },
        LOG_LEVEL_SETTING,
        LOG_FORMAT_SETTING,
    ],
};

/// Settings of the program.
pub(crate) struct ProgramSettings {
    /// Path of the settings file.
    pub(crate) path: PathBuf,
    /// Settings read from that file.
    pub(crate) platform: PlatformSettings,
    /// Least severe level that is logged.
    pub(crate) log_level: LevelFilter,
    /// Format of log lines.
    pub(crate) log_format: LogFormat,
}

/// Reads the command line, the environment and the settings file; prints the help text or the
/// errors found.
pub(crate) fn read_command_line() -> ProgramStart<ProgramSettings> {
    SPEC.start(read_settings)
}

fn read_settings(values: &SettingValues, faults: &mut SettingFaults) -> Option<ProgramSettings> {
    let path = values.parse::<PathBuf>("settings-file", faults);
    let log_level = values.parse("log-level", faults);
    let log_format = values.parse("log-format", faults);
    let path = path?;
    let platform = PlatformSettings::read(&path)
        .map_err(|error| faults.push("--settings-file", error.to_string()))
        .ok();
    Some(ProgramSettings {
        path,
        platform: platform?,
        log_level: log_level?,
        log_format: log_format?,
    })
}
