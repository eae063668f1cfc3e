//! The start of a program that takes settings and no other arguments.

use std::{env, process::ExitCode};

use crate::{ProgramSpec, SettingFaults, SettingValues, parse_args};

/// Exit code for faults in the settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// What the command line asks for.
#[derive(Debug)]
pub enum ProgramStart<T> {
    /// Run with these settings.
    Run(T),
    /// Exit at once.
    Exit(ExitCode),
}

impl ProgramSpec {
    /// Reads the command line and the environment, and the settings by `read`, which
    /// returns `None` where it has added a fault. Prints help and faults.
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
                println!("The settings are sound.");
                ProgramStart::Exit(ExitCode::SUCCESS)
            }
            Some(settings) => ProgramStart::Run(settings),
            None => report_faults(&faults),
        }
    }
}

fn report_faults<T>(faults: &SettingFaults) -> ProgramStart<T> {
    eprintln!("{faults}");
    ProgramStart::Exit(ExitCode::from(EXIT_BAD_SETTINGS))
}
