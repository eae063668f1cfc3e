//! Command line of the demo.

use std::{env, process::ExitCode};

use log::LevelFilter;
use settings::{ProgramSpec, SettingFaults, SettingSpec, parse_args};

/// Exit code for faults in the settings.
const EXIT_BAD_SETTINGS: u8 = 2;

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

/// What the command line asks for.
pub(crate) enum Command {
    /// Run the demo.
    Run(DemoSettings),
    /// Exit at once.
    Exit(ExitCode),
}

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
pub(crate) fn read_command_line() -> Command {
    let parsed = match parse_args(&SPEC, env::args_os().skip(1), |name| env::var(name).ok()) {
        Ok(parsed) => parsed,
        Err(faults) => return report_faults(&faults),
    };
    if parsed.help {
        print!("{}", SPEC.help());
        return Command::Exit(ExitCode::SUCCESS);
    }
    let mut faults = SettingFaults::default();
    if let Some(argument) = parsed.arguments.first() {
        faults.push(argument, "unexpected argument");
    }
    let seed = parsed.values.parse("seed", &mut faults);
    let log_level = parsed.values.parse("log-level", &mut faults);
    let (Some(seed), Some(log_level), true) = (seed, log_level, faults.0.is_empty()) else {
        return report_faults(&faults);
    };
    if parsed.check {
        println!("The settings are sound.");
        return Command::Exit(ExitCode::SUCCESS);
    }
    Command::Run(DemoSettings { seed, serve: parsed.values.is_on("serve"), log_level })
}

fn report_faults(faults: &SettingFaults) -> Command {
    eprintln!("{faults}");
    Command::Exit(ExitCode::from(EXIT_BAD_SETTINGS))
}
