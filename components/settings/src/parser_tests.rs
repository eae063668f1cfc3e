//! Tests of `parser`.

use std::time::Duration;

use super::*;
use crate::SettingSpec;

const SPEC: ProgramSpec = ProgramSpec {
    name: "cask",
    about: "Counts casks.",
    arguments: "",
    details: "",
    settings: &[
        SettingSpec {
            flag: "cellar",
            env: "CASK_CELLAR",
            value: "NAME",
            default: None,
            help: "Name of the cellar.",
        },
        SettingSpec {
            flag: "timeout",
            env: "CASK_TIMEOUT",
            value: "DURATION",
            default: Some("5s"),
            help: "Longest count.",
        },
        SettingSpec {
            flag: "quick",
            env: "CASK_QUICK",
            value: "",
            default: None,
            help: "Whether to skip empty casks.",
        },
    ],
};

fn parse(args: &[&str], env: &[(&str, &str)]) -> Result<ParsedArgs, SettingFaults> {
    let read_env =
        |name: &str| env.iter().find(|(key, _)| *key == name).map(|(_, value)| (*value).to_owned());
    parse_args(&SPEC, args.iter().map(OsString::from), read_env)
}

#[test]
fn flags_override_the_environment_which_overrides_defaults() {
    let env = [("CASK_CELLAR", "south"), ("CASK_TIMEOUT", "9s")];
    let parsed = parse(&["--cellar", "north", "--quick"], &env).unwrap();
    let mut faults = SettingFaults::default();
    assert_eq!(parsed.values.text("cellar", &mut faults), "north");
    assert_eq!(parsed.values.duration("timeout", &mut faults), Duration::from_secs(9));
    assert!(parsed.values.is_on("quick"));
    assert_eq!(faults, SettingFaults::default());
}

#[test]
fn all_faults_are_reported_together() {
    let faults = parse(&["--cellr=x", "-z", "--timeout"], &[]).unwrap_err();
    insta::assert_snapshot!(faults, @r"
    --cellr: unknown flag; see --help
    -z: unknown flag
    --timeout: missing argument for option '--timeout'
    ");
    let parsed = parse(&["--timeout", "soon"], &[]).unwrap();
    let mut faults = SettingFaults::default();
    parsed.values.text("cellar", &mut faults);
    parsed.values.duration("timeout", &mut faults);
    insta::assert_snapshot!(faults, @"
    --cellar: missing; give it or set CASK_CELLAR
    --timeout: 'soon' is not a duration such as 500ms or 5s: expected number at 0
    ");
}

#[test]
fn help_names_every_setting() {
    insta::assert_snapshot!(SPEC.help());
}
