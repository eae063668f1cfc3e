//! Values of settings and their conversion from text.

use std::{fmt::Display, str::FromStr, time::Duration};

use utils::HashMap;

use crate::{ProgramSpec, SettingFaults, SettingSpec};

/// Values of a program's settings. Reading a missing or malformed value adds an error and
/// returns a placeholder, so that all errors can be reported together.
#[derive(Debug, Clone)]
pub struct SettingValues {
    /// Definitions of the settings.
    specs: &'static [SettingSpec],
    /// Values given by flags or the environment, as text, by flag.
    given: HashMap<&'static str, String>,
}

impl SettingValues {
    pub(crate) fn new(spec: &ProgramSpec) -> SettingValues {
        SettingValues { specs: spec.settings, given: HashMap::default() }
    }

    pub(crate) fn set(&mut self, flag: &'static str, value: String) {
        self.given.insert(flag, value);
    }

    /// Returns the value of a setting, or its default; `None` if it has neither.
    pub fn optional(&self, flag: &str) -> Option<&str> {
        let spec = self.specs.iter().find(|spec| spec.flag == flag)?;
        self.given.get(flag).map(String::as_str).or(spec.default)
    }

    /// Returns whether a switch is on: `true`, `1`, `yes` or `on`.
    pub fn is_on(&self, flag: &str) -> bool {
        matches!(self.optional(flag), Some("true" | "1" | "yes" | "on"))
    }

    /// Returns the value of a setting, or its default. If it has neither, adds an error and
    /// returns an empty string.
    pub fn text(&self, flag: &str, faults: &mut SettingFaults) -> String {
        match self.optional(flag) {
            Some(text) => text.to_owned(),
            None => {
                let env = self.specs.iter().find(|spec| spec.flag == flag).map_or("", |it| it.env);
                faults.push(&format!("--{flag}"), format!("missing; give it or set {env}"));
                String::new()
            }
        }
    }

    /// Returns the parsed value of a setting, or `None` after adding an error.
    pub fn parse<T>(&self, flag: &str, faults: &mut SettingFaults) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let faults_before = faults.0.len();
        let text = self.text(flag, faults);
        if faults.0.len() > faults_before {
            return None;
        }
        let parsed = text.parse::<T>();
        parsed.map_err(|error| faults.push(&format!("--{flag}"), format!("'{text}': {error}"))).ok()
    }

    /// Returns the parsed items of a comma-separated list, which may be empty or absent. Adds an
    /// error for each malformed item and leaves it out.
    pub fn list<T>(&self, flag: &str, faults: &mut SettingFaults) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.optional(flag).unwrap_or_default();
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items
            .filter_map(|item| {
                let parsed = item.parse::<T>();
                parsed
                    .map_err(|error| {
                        faults.push(&format!("--{flag}"), format!("'{item}': {error}"));
                    })
                    .ok()
            })
            .collect()
    }

    /// Returns the value of a duration setting with its unit, such as `500ms`, or zero after
    /// adding an error.
    pub fn duration(&self, flag: &str, faults: &mut SettingFaults) -> Duration {
        let faults_before = faults.0.len();
        let text = self.text(flag, faults);
        if faults.0.len() > faults_before {
            return Duration::ZERO;
        }
        humantime::parse_duration(&text).unwrap_or_else(|error| {
            let message = format!("'{text}' is not a duration such as 500ms or 5s: {error}");
            faults.push(&format!("--{flag}"), message);
            Duration::ZERO
        })
    }
}
