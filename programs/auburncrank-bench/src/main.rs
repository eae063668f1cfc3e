//! `auburncrank-bench`: the experiment tool. One subcommand a study, one line a run.

mod cli;
mod cmd;
mod memory;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
