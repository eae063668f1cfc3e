//! `auburncrankd`: the daemon that runs one router of the fleet.

mod cli;
mod run;

use std::process::ExitCode;

use settings::ProgramStart;

fn main() -> ExitCode {
    match cli::read_command_line() {
        ProgramStart::Run(settings) => run::run_daemon(settings),
        ProgramStart::Exit(code) => code,
    }
}
