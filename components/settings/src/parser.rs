//! Command-line parsing.

use std::ffi::OsString;

use lexopt::{Arg, Parser};
use utils::HashMap;

use crate::{ProgramSpec, SettingFaults, SettingValues};

/// A parsed command line.
#[derive(Debug)]
pub struct ParsedArgs {
    /// Values of the settings, from the flags, the environment and the defaults.
    pub values: SettingValues,
    /// Positional arguments, in order.
    pub arguments: Vec<String>,
    /// Whether `--help` was given.
    pub help: bool,
    /// Whether `--check` was given.
    pub check: bool,
}

/// Parses `args`, which must not include the name of the program. Settings without a flag in
/// `args` are read from the environment by `read_env`, or get their defaults.
///
/// # Errors
/// All errors in the command line. The values of the settings are not checked.
pub fn parse_args(
    spec: &ProgramSpec,
    args: impl IntoIterator<Item = OsString>,
    read_env: impl Fn(&str) -> Option<String>,
) -> Result<ParsedArgs, SettingFaults> {
    let mut parsed = ParsedArgs {
        values: SettingValues::new(spec),
        arguments: Vec::new(),
        help: false,
        check: false,
    };
    let mut given = HashMap::default();
    let mut faults = SettingFaults::default();
    let mut parser = Parser::from_args(args);
    loop {
        match parser.next() {
            Ok(None) => break,
            Ok(Some(Arg::Long("help") | Arg::Short('h'))) => parsed.help = true,
            Ok(Some(Arg::Long("check"))) => parsed.check = true,
            Ok(Some(Arg::Long(flag))) => {
                let flag = flag.to_owned();
                read_flag(spec, &flag, &mut parser, &mut given, &mut faults);
            }
            Ok(Some(Arg::Short(flag))) => faults.push(&format!("-{flag}"), "unknown flag"),
            Ok(Some(Arg::Value(value))) => match value.into_string() {
                Ok(value) => parsed.arguments.push(value),
                Err(value) => faults.push(&value.to_string_lossy(), "not valid UTF-8"),
            },
            Err(error) => {
                faults.push("command line", error.to_string());
                break;
            }
        }
    }
    for setting in spec.settings {
        let value = given.remove(setting.flag).or_else(|| read_env(setting.env));
        if let Some(value) = value {
            parsed.values.set(setting.flag, value);
        }
    }
    faults.into_result(parsed)
}

fn read_flag(
    spec: &ProgramSpec,
    flag: &str,
    parser: &mut Parser,
    given: &mut HashMap<&'static str, String>,
    faults: &mut SettingFaults,
) {
    let name = format!("--{flag}");
    let Some(setting) = spec.settings.iter().find(|setting| setting.flag == flag) else {
        // Skips the value of `--flag=value`, so that it is not parsed as an argument.
        let _ = parser.optional_value();
        return faults.push(&name, "unknown flag; see --help");
    };
    let value = if setting.is_switch() {
        Ok("true".to_owned())
    } else {
        parser.value().map(|value| value.to_string_lossy().into_owned())
    };
    match value {
        Ok(value) => {
            if given.insert(setting.flag, value).is_some() {
                faults.push(&name, "given more than once");
            }
        }
        Err(error) => faults.push(&name, error.to_string()),
    }
}

#[cfg(test)]
#[path = "parser_tests.rs"]
mod tests;
