//! `auburncrank`: the command-line tool for operators and callers.

mod cli;
mod cmd;
mod context;
mod exit;
mod output;
mod review;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
