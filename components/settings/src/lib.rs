//! Settings from flags and environment variables, checked together.

mod fault;
mod help;
mod parser;
mod spec;
mod values;

pub use self::{
    fault::{SettingFault, SettingFaults},
    parser::{ParsedArgs, parse_args},
    spec::{ProgramSpec, SettingSpec},
    values::SettingValues,
};
