//! `auburncrank-relay`: one router of the fleet on the users' platform.

mod cli;
mod run;

use std::process::ExitCode;

use settings::ProgramStart;

fn main() -> ExitCode {
    // First of all: a signal that comes before ends the process.
    let runtime = run::new_runtime();
    let taken_over = runtime.and_then(|runtime| {
        let signals = runtime.block_on(async { run::Signals::take_over() })?;
        Ok((runtime, signals))
    });
    let (runtime, signals) = match taken_over {
        Ok(it) => it,
        Err(error) => {
            eprintln!("the system refuses a runtime or its signals: {error}");
            return ExitCode::FAILURE;
        }
    };
    match cli::read_command_line() {
        ProgramStart::Run(settings) => run::run_relay(&runtime, signals, settings),
        ProgramStart::Exit(code) => code,
    }
}
