//! What a program accepts on its command line.

/// What a program accepts on its command line.
#[derive(Debug, Clone, Copy)]
pub struct ProgramSpec {
    /// Name of the program.
    pub name: &'static str,
    /// What it does, in one sentence.
    pub about: &'static str,
    /// Usage of arguments beside settings, such as `COMMAND [ARGUMENTS]`.
    pub arguments: &'static str,
    /// Further text for `--help`, such as commands and exit codes.
    pub details: &'static str,
    /// Settings.
    pub settings: &'static [SettingSpec],
}

/// One setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SettingSpec {
    /// Name of the flag, without `--`.
    pub flag: &'static str,
    /// Name of the environment variable.
    pub env: &'static str,
    /// What the value stands for, with its unit, such as `SECONDS`; empty for a switch
    /// without a value.
    pub value: &'static str,
    /// Default, as text; `None` where the setting must be given or is optional.
    pub default: Option<&'static str>,
    /// What it is for, in one sentence.
    pub help: &'static str,
}

impl SettingSpec {
    /// Tells whether the setting is a switch, without a value.
    pub fn is_switch(&self) -> bool {
        self.value.is_empty()
    }
}

/// Setting of the lowest level that is logged; the same in all daemons.
pub const LOG_LEVEL_SETTING: SettingSpec = SettingSpec {
    flag: "log-level",
    env: "AUBURNCRANK_LOG_LEVEL",
    value: "LEVEL",
    default: Some("info"),
    help: "Lowest level that is logged: error, warn, info, debug or trace.",
};

/// Setting of the format of log lines; the same in all daemons.
pub const LOG_FORMAT_SETTING: SettingSpec = SettingSpec {
    flag: "log-format",
    env: "AUBURNCRANK_LOG_FORMAT",
    value: "FORMAT",
    default: Some("text"),
    help: "Format of log lines: text or json.",
};
