//! Program settings from command-line flags and environment variables, with all errors
//! reported together.

mod fault;
mod help;
mod parser;
mod program_start;
mod spec;
mod values;

pub use self::{
    fault::{SettingFault, SettingFaults},
    parser::{ParsedArgs, parse_args},
    program_start::ProgramStart,
    spec::{LOG_FORMAT_SETTING, LOG_LEVEL_SETTING, ProgramSpec, SettingSpec},
    values::SettingValues,
};
