//! Errors of HTTP calls, which tell whether the server may have received the call.

use thiserror::Error;

/// Error of an HTTP call. Tells whether the server may have received the call.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// The connection failed, or the call could not be built; nothing reached the server.
    #[error("call not sent: {0}")]
    NotSent(String),
    /// The call may have been sent at least in part, and no complete answer arrived.
    #[error("no complete answer received: {0}")]
    AnswerLost(String),
    /// No complete answer arrived in time; the call may have been sent at least in part.
    #[error("timed out waiting for the answer")]
    TimedOut,
}
