//! Definitions of the settings of a program.

/// Command-line interface of a program.
#[derive(Debug, Clone, Copy)]
pub struct ProgramSpec {
    /// Name of the program, as in the usage line.
    pub name: &'static str,
    /// Description of the program, in one sentence.
    pub about: &'static str,
    /// Usage of positional arguments, such as `COMMAND [ARGUMENTS]`; empty if there are none.
    pub arguments: &'static str,
    /// Additional text for `--help`, such as commands and exit codes; may be empty.
    pub details: &'static str,
    /// Settings, in the order of the help text.
    pub settings: &'static [SettingSpec],
}

/// Definition of one setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingSpec {
    /// Name of the flag, without `--`.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub env: &'static str,
    /// Placeholder for the value, with its unit, such as `SECONDS`; empty for a switch, which
    /// has no value.
    pub value: &'static str,
    /// Default, as text; `None` if the setting is required or optional without a default.
    pub default: Option<&'static str>,
    /// Help text, in one sentence.
    pub help: &'static str,
}

impl SettingSpec {
    /// Returns whether the setting is a switch, which has no value.
    pub fn is_switch(&self) -> bool {
        self.value.is_empty()
    }
}

/// Setting for the lowest log level, shared by all daemons.
pub const LOG_LEVEL_SETTING: SettingSpec = SettingSpec {
    flag: "log-level",
    env: "AUBURNCRANK_LOG_LEVEL",
    value: "LEVEL",
    default: Some("info"),
    help: "Lowest level that is logged: error, warn, info, debug or trace.",
};

/// Setting for the format of log lines, shared by all daemons.
pub const LOG_FORMAT_SETTING: SettingSpec = SettingSpec {
    flag: "log-format",
    env: "AUBURNCRANK_LOG_FORMAT",
    value: "FORMAT",
    default: Some("text"),
    help: "Format of log lines: text or json.",
};
