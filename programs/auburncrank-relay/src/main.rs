//! `auburncrank-relay`: one router of the fleet on the users' platform.

mod cli;
mod run;

use std::process::ExitCode;

use settings::ProgramStart;

fn main() -> ExitCode {
    match cli::read_command_line() {
        ProgramStart::Run(settings) => run::run_relay(settings),
        ProgramStart::Exit(code) => code,
    }
}
