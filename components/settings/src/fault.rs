//! Errors in settings.

use std::fmt;

use thiserror::Error;

/// An error in one setting or argument.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{name}: {message}")]
pub struct SettingFault {
    /// Flag or argument that has the error.
    pub name: String,
    /// Description of the error.
    pub message: String,
}

/// All errors in the settings, reported together. Empty if there are none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct SettingFaults(pub Vec<SettingFault>);

impl SettingFaults {
    /// Adds an error in the flag or argument `name`.
    pub fn push(&mut self, name: &str, message: impl Into<String>) {
        self.0.push(SettingFault { name: name.to_owned(), message: message.into() });
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    /// All collected errors, if there are any.
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
