//! Command line of the experiment tool.

use std::{env, process::ExitCode};

use settings::{ProgramSpec, SettingFaults, SettingSpec, SettingValues, parse_args};

use crate::cmd::STUDIES;

/// Exit code for an invalid command line.
const EXIT_INVALID_COMMAND_LINE: u8 = 2;

const SPEC: ProgramSpec = ProgramSpec {
    name: "auburncrank-bench",
    about: "Runs experiments on auburncrank and prints one line of JSON for each run.",
    arguments: "STUDY",
    details: "Exit codes:\n  0  the study ran\n  1  the study failed\n  2  invalid command line",
    settings: &[
        SettingSpec {
            flag: "seed",
            env: "AUBURNCRANK_BENCH_SEED",
            value: "NUMBER",
            default: Some("1"),
            help: "Seed; the same seed gives the same run in studies on simulated time.",
        },
        SettingSpec {
            flag: "scenario",
            env: "AUBURNCRANK_BENCH_SCENARIO",
            value: "NAME",
            default: None,
            help: "Runs only this scenario of the study.",
        },
        SettingSpec {
            flag: "json",
            env: "AUBURNCRANK_BENCH_JSON",
            value: "",
            default: None,
            help: "Prints rows as JSON, which is the default and the only format.",
        },
    ],
};

/// Options of a study.
#[derive(Debug, Clone)]
pub(crate) struct StudyOptions {
    /// Seed of the random numbers.
    pub(crate) seed: u64,
    /// The only scenario to run; `None` runs all of them.
    pub(crate) scenario: Option<String>,
}

impl StudyOptions {
    /// Reports whether to run scenario `name`.
    pub(crate) fn includes(&self, name: &str) -> bool {
        self.scenario.as_deref().is_none_or(|scenario| scenario == name)
    }
}

/// Parses the command line and runs the study that it names.
pub(crate) fn run() -> ExitCode {
    let parsed = match parse_args(&SPEC, env::args_os().skip(1), |name| env::var(name).ok()) {
        Ok(parsed) => parsed,
        Err(faults) => return report_faults(&faults),
    };
    if parsed.help {
        print!("{}\nStudies:\n", SPEC.help());
        for study in STUDIES {
            println!("  {:12} {}", study.name, study.about);
        }
        return ExitCode::SUCCESS;
    }
    let mut faults = SettingFaults::default();
    let options = read_options(&parsed.values, &mut faults);
    let name = parsed.arguments.first().map_or("", String::as_str);
    let study = STUDIES.iter().find(|study| study.name == name);
    if study.is_none() {
        faults.push("STUDY", format!("'{name}' is not a known study; see --help"));
    }
    let (Some(study), true) = (study, faults.0.is_empty()) else {
        return report_faults(&faults);
    };
    if parsed.check {
        println!("The settings are valid.");
        return ExitCode::SUCCESS;
    }
    match (study.run)(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", study.name);
            ExitCode::FAILURE
        }
    }
}

fn read_options(values: &SettingValues, faults: &mut SettingFaults) -> StudyOptions {
    StudyOptions {
        seed: values.parse("seed", faults).unwrap_or_default(),
        scenario: values.optional("scenario").map(str::to_owned),
    }
}

fn report_faults(faults: &SettingFaults) -> ExitCode {
    eprintln!("{faults}");
    ExitCode::from(EXIT_INVALID_COMMAND_LINE)
}
