//! `auburncrankd`: one router of the fleet.

mod cli;
mod run;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::read_command_line() {
        cli::Command::Run(settings) => run::run_daemon(*settings),
        cli::Command::Exit(code) => code,
    }
}
