//! Errors of the administration API.

use std::fmt;

use config::{Fault, StalePlan};
use errors::{Error, ErrorKind};

/// Error of the administration API, with the details that the operator needs to correct it.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct AdminError {
    /// Kind and message of the error.
    pub error: Error,
    /// Every fault in the intent; empty for other errors.
    pub faults: Vec<Fault>,
    /// Descriptions of what has changed since a stale plan was created; empty for other errors.
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
            "the plan conflicts with configuration version {}; \
             nothing was changed; create a new plan",
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
