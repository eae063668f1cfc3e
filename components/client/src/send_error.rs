//! Errors of HTTP calls, by what the server may have seen.

use thiserror::Error;

/// Error of an HTTP call, by what the server may have seen of it.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// No byte of the call reached the server: the connection was not made.
    #[error("connection not made: {0}")]
    NotSent(String),
    /// The call was sent at least in part, and no whole answer arrived.
    #[error("answer lost: {0}")]
    AnswerLost(String),
    /// No whole answer arrived in time; the call was sent at least in part.
    #[error("no answer in time")]
    TimedOut,
}
