//! Faults of settings.

use std::fmt;

use thiserror::Error;

/// One fault of the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{name}: {message}")]
pub struct SettingFault {
    /// Flag or argument that is at fault.
    pub name: String,
    /// What is wrong.
    pub message: String,
}

/// All faults of the settings, reported together.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl SettingFaults {
    /// Adds a fault.
    pub fn push(&mut self, name: &str, message: impl Into<String>) {
        self.0.push(SettingFault { name: name.to_owned(), message: message.into() });
    }

    /// Returns `value` if there is no fault.
    ///
    /// # Errors
    /// All the faults, where there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, SettingFaults> {
        if self.0.is_empty() { Ok(value) } else { Err(self) }
    }
}

impl fmt::Display for SettingFaults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{fault}")?;
        }
        Ok(())
    }
}
