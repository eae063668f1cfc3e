//! Errors of the administration API.

use std::fmt;

use config::{Fault, StalePlan};
use errors::{Error, ErrorKind};

/// An error of the administration API, with what the operator needs to mend it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct AdminError {
    /// The error.
    pub error: Error,
    /// All faults of the intent.
    pub faults: Vec<Fault>,
    /// What has changed since a stale plan was made, in words.
    pub differences: Vec<String>,
}

impl AdminError {
    /// Creates an error without faults or differences.
    pub fn new(kind: ErrorKind, message: impl Into<std::sync::Arc<str>>) -> AdminError {
        AdminError::from(Error::new(kind, message))
    }
}

impl From<Error> for AdminError {
    fn from(error: Error) -> AdminError {
        AdminError { error, faults: Vec::new(), differences: Vec::new() }
    }
}

impl From<Vec<Fault>> for AdminError {
    fn from(faults: Vec<Fault>) -> AdminError {
        let noun = if faults.len() == 1 { "fault" } else { "faults" };
        let message = format!("{} {noun}; nothing was changed", faults.len());
        AdminError { faults, ..AdminError::new(ErrorKind::InvalidConfig, message) }
    }
}

impl From<StalePlan> for AdminError {
    fn from(stale: StalePlan) -> AdminError {
        let message = format!(
            "the configuration is at version {} and has changed where it matters to the plan; \
             nothing was changed; make the plan anew",
            stale.version
        );
        let differences = stale.differences;
        AdminError { differences, ..AdminError::new(ErrorKind::StalePlan, message) }
    }
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.error.fmt(f)?;
        self.faults.iter().try_for_each(|fault| write!(f, "\n  {fault}"))?;
        self.differences.iter().try_for_each(|line| write!(f, "\n  {line}"))
    }
}
