//! Errors of attempts.

use crate::dispatch::AttemptOutcome;

/// Error of an attempt that ended without a complete answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("attempt {}: {message}", outcome.label())]
pub(super) struct AttemptError {
    /// How the attempt ended.
    pub(super) outcome: AttemptOutcome,
    /// Human-readable description of the failure.
    pub(super) message: String,
}

impl AttemptError {
    /// Creates the error of an attempt that ended with `outcome`.
    pub(super) fn new(outcome: AttemptOutcome, message: impl Into<String>) -> AttemptError {
        AttemptError { outcome, message: message.into() }
    }
}
