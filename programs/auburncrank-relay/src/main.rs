//! `auburncrank-relay`: runs one router of the fleet on the users' platform.

mod cli;
mod run;

use std::process::ExitCode;

use settings::ProgramStart;

fn main() -> ExitCode {
    // Installs the signal handlers first: a signal that arrives before that ends the process.
    let runtime = run::new_runtime();
    let installed = runtime.and_then(|runtime| {
        let signals = runtime.block_on(async { run::Signals::install() })?;
        Ok((runtime, signals))
    });
    let (runtime, signals) = match installed {
        Ok(it) => it,
        Err(error) => {
            eprintln!("cannot create the runtime or install the signal handlers: {error}");
            return ExitCode::FAILURE;
        }
    };
    match cli::read_command_line() {
        ProgramStart::Run(settings) => run::run_relay(&runtime, signals, settings),
        ProgramStart::Exit(code) => code,
    }
}
