//! Startup of programs that have settings but no positional arguments.

use std::{env, process::ExitCode};

use crate::{ProgramSpec, SettingFaults, SettingValues, parse_args};

/// Exit code for errors in the settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Result of reading the command line.
#[derive(Debug)]
pub enum ProgramStart<T> {
    /// The program runs with these settings.
    Run(T),
    /// The program exits at once: help was printed, the settings were only checked, or they
    /// have errors.
    Exit(ExitCode),
}

impl ProgramSpec {
    /// Parses the command line and the environment, and converts the values with `read`, which
    /// returns `None` if it has added an error. Prints the help text or the errors.
    pub fn start<T>(
        &self,
        read: impl FnOnce(&SettingValues, &mut SettingFaults) -> Option<T>,
    ) -> ProgramStart<T> {
        let parsed = match parse_args(self, env::args_os().skip(1), |name| env::var(name).ok()) {
            Ok(parsed) => parsed,
            Err(faults) => return report_faults(&faults),
        };
        if parsed.help {
            print!("{}", self.help());
            return ProgramStart::Exit(ExitCode::SUCCESS);
        }
        let mut faults = SettingFaults::default();
        if let Some(argument) = parsed.arguments.first() {
            faults.push(argument, "unexpected argument");
        }
        let settings = read(&parsed.values, &mut faults);
        match settings.filter(|_| faults.0.is_empty()) {
            Some(_) if parsed.check => {
                println!("The settings are valid.");
                ProgramStart::Exit(ExitCode::SUCCESS)
            }
            Some(settings) => ProgramStart::Run(settings),
            None => report_faults(&faults),
        }
    }
}

fn report_faults<T>(faults: &SettingFaults) -> ProgramStart<T> {
    eprintln!("{faults}");
    ProgramStart::Exit(ExitCode::from(EXIT_INVALID_SETTINGS))
}
