//! Values of settings.

use std::{fmt::Display, str::FromStr, time::Duration};

use utils::HashMap;

use crate::{ProgramSpec, SettingFaults, SettingSpec};

/// Values of a program's settings. Reading one adds to the faults where it is missing
/// or malformed, and returns a placeholder then.
#[derive(Debug, Clone)]
pub struct SettingValues {
    /// What the program accepts.
    specs: &'static [SettingSpec],
    /// Given values, as text.
    given: HashMap<&'static str, String>,
}

impl SettingValues {
    pub(crate) fn new(spec: &ProgramSpec) -> SettingValues {
        SettingValues { specs: spec.settings, given: HashMap::default() }
    }

    pub(crate) fn set(&mut self, flag: &'static str, value: String) {
        self.given.insert(flag, value);
    }

    /// Returns the text of a setting that may be absent.
    pub fn optional(&self, flag: &str) -> Option<&str> {
        let spec = self.specs.iter().find(|spec| spec.flag == flag)?;
        self.given.get(flag).map(String::as_str).or(spec.default)
    }

    /// Tells whether a switch is on.
    pub fn is_on(&self, flag: &str) -> bool {
        matches!(self.optional(flag), Some("true" | "1" | "yes" | "on"))
    }

    /// Returns the text of a setting.
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

    /// Returns the parsed value of a setting, or `None` after adding a fault.
    pub fn parse<T>(&self, flag: &str, faults: &mut SettingFaults) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let known = faults.0.len();
        let text = self.text(flag, faults);
        if faults.0.len() > known {
            return None;
        }
        let parsed = text.parse::<T>();
        parsed.map_err(|error| faults.push(&format!("--{flag}"), format!("'{text}': {error}"))).ok()
    }

    /// Returns the parsed parts of a setting that is a list separated by commas.
    pub fn list<T>(&self, flag: &str, faults: &mut SettingFaults) -> Vec<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        let text = self.optional(flag).unwrap_or_default();
        let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
        parts
            .filter_map(|part| {
                let parsed = part.parse::<T>();
                parsed
                    .map_err(|error| {
                        faults.push(&format!("--{flag}"), format!("'{part}': {error}"));
                    })
                    .ok()
            })
            .collect()
    }

    /// Returns a setting that is a duration with its unit, such as `500ms`.
    pub fn duration(&self, flag: &str, faults: &mut SettingFaults) -> Duration {
        let known = faults.0.len();
        let text = self.text(flag, faults);
        if faults.0.len() > known {
            return Duration::ZERO;
        }
        humantime::parse_duration(&text).unwrap_or_else(|error| {
            let message = format!("'{text}' is not a duration such as 500ms or 5s: {error}");
            faults.push(&format!("--{flag}"), message);
            Duration::ZERO
        })
    }
}
