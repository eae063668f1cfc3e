//! `auburncrank-demo`: runs stand-ins, three routers in three failure domains and callers of both
//! client accounts in one process over loopback.

mod cli;
mod demo_request;
mod fault_script;
mod load;
mod report;
mod run;
mod serve;

use std::process::ExitCode;

use settings::ProgramStart;

fn main() -> ExitCode {
    match cli::read_command_line() {
        ProgramStart::Run(settings) => run::run_demo(&settings),
        ProgramStart::Exit(code) => code,
    }
}
