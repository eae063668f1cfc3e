//! Ends of attempts that brought no whole answer.

use crate::dispatch::AttemptOutcome;

/// End of an attempt that brought no whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("attempt {}: {message}", outcome.label())]
pub(super) struct AttemptError {
    /// How the attempt ended.
    pub(super) outcome: AttemptOutcome,
    /// What happened, for people.
    pub(super) message: String,
}

impl AttemptError {
    /// Creates the end of an attempt.
    pub(super) fn new(outcome: AttemptOutcome, message: impl Into<String>) -> AttemptError {
        AttemptError { outcome, message: message.into() }
    }
}
