//! Output of `--help`.

use std::fmt::Write;

use crate::{ProgramSpec, SettingSpec};

impl ProgramSpec {
    /// Returns the output of `--help`.
    pub fn help(&self) -> String {
        let mut text = format!("{}\n\nUsage: {} [SETTINGS]", self.about, self.name);
        if !self.arguments.is_empty() {
            let _ = write!(text, " {}", self.arguments);
        }
        text.push_str("\n\nSettings (flag or environment variable):\n");
        for setting in self.settings {
            write_setting(&mut text, setting);
        }
        text.push_str("  --check\n        Checks the settings and exits.\n");
        text.push_str("  --help\n        Shows this text and exits.\n");
        if !self.details.is_empty() {
            let _ = write!(text, "\n{}\n", self.details);
        }
        text
    }
}

fn write_setting(text: &mut String, setting: &SettingSpec) {
    let separator = if setting.is_switch() { "" } else { " " };
    let _ = writeln!(text, "  --{}{separator}{}  {}", setting.flag, setting.value, setting.env);
    let default = match setting.default {
        Some(default) if !default.is_empty() => format!(" [default: {default}]"),
        _ => String::new(),
    };
    let _ = writeln!(text, "        {}{default}", setting.help);
}
