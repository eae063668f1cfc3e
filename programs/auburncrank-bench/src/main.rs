//! `auburncrank-bench`: the experiment tool. Each subcommand runs one study and prints one line per
//! run.

mod cli;
mod cmd;
mod memory;
mod output;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
