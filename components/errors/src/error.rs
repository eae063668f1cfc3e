//! An error with its context.

use std::{fmt, sync::Arc, time::Duration};

use crate::{ErrorAnswer, ErrorKind, Ran};

/// Result whose error defaults to [`Error`].
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An error: its kind, a human-readable message, and the context in which it occurred.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct Error {
    /// Kind, which determines the answer.
    kind: ErrorKind,
    /// Description of the error, and what to do about it if that is not obvious.
    message: Arc<str>,
    /// Operations during which the error occurred, outermost last.
    context: Vec<Arc<str>>,
    /// Whether an earlier attempt of the request may have run. If so, the answer must not
    /// report "not run", regardless of the kind.
    may_have_run: bool,
    /// Delay before a retry, if it is known more precisely than from the kind.
    retry_delay: Option<Duration>,
}

impl Error {
    /// Creates an error of `kind`.
    pub fn new(kind: ErrorKind, message: impl Into<Arc<str>>) -> Error {
        Error {
            kind,
            message: message.into(),
            context: Vec::new(),
            may_have_run: false,
            retry_delay: None,
        }
    }

    /// Adds the operation during which the error occurred, as the outermost one so far.
    pub fn with_context(mut self, context: impl Into<Arc<str>>) -> Error {
        self.context.push(context.into());
        self
    }

    /// Marks that an earlier attempt of the request may have run.
    pub fn after_earlier_attempt(mut self) -> Error {
        self.may_have_run = true;
        self
    }

    /// Returns whether an earlier attempt of the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns whether the request was executed.
    pub fn ran(&self) -> Ran {
        match self.kind.entry().ran {
            Ran::Never if self.may_have_run => Ran::Unknown,
            ran => ran,
        }
    }

    /// Sets the delay before a retry, with jitter already applied.
    pub fn with_retry_delay(mut self, delay: Duration) -> Error {
        self.retry_delay = Some(delay);
        self
    }

    /// Returns the delay before a retry, if it is known more precisely than from the kind.
    pub fn retry_delay(&self) -> Option<Duration> {
        self.retry_delay
    }

    /// Returns the kind, which determines the answer.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the message without its context.
    pub fn message(&self) -> &str {
        &self.message
    }

    /// Returns the answer body for the caller, without the context and without a retry delay.
    pub fn answer(&self) -> ErrorAnswer {
        let mut answer = ErrorAnswer::new(self.kind, self.message());
        answer.error.ran = self.ran();
        answer
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for context in self.context.iter().rev() {
            write!(f, "{context}: ")?;
        }
        f.write_str(&self.message)
    }
}

#[cfg(test)]
#[path = "error_tests.rs"]
mod tests;
