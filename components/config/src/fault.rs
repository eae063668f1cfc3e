//! Faults in a configuration or intent.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A validation or parse error, with the path of the affected value.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Path of the value, such as `accounts.school.models.fitting`.
    pub path: String,
    /// Description of the fault, and how to correct it if that is not obvious.
    pub message: String,
}

impl Fault {
    /// Creates a fault for the value at `path`.
    pub fn new(path: impl Into<String>, message: impl Into<String>) -> Fault {
        Fault { path: path.into(), message: message.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.message)
    }
}
