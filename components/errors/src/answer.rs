//! Body of an HTTP error answer.

use serde::{Deserialize, Serialize};

use crate::{ErrorKind, Ran};

/// Body of an HTTP error answer, in the form that clients of model APIs expect:
/// `{"error": {…}}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorAnswer {
    /// The error.
    pub error: ErrorDetail,
}

/// The error in an [`ErrorAnswer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable code for programs.
    pub code: String,
    /// Human-readable message.
    pub message: String,
    /// Whether the request was executed.
    pub ran: Ran,
    /// Whether a request with the same id may be sent again.
    pub may_retry_same_id: bool,
    /// Delay before a retry, in milliseconds, with jitter; absent if a retry cannot help.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl ErrorAnswer {
    /// Creates the body for an error of `kind`, without a retry delay.
    pub fn new(kind: ErrorKind, message: &str) -> ErrorAnswer {
        let entry = kind.entry();
        let error = ErrorDetail {
            code: entry.code.to_owned(),
            message: message.to_owned(),
            ran: entry.ran,
            may_retry_same_id: entry.may_retry_same_id,
            retry_after_ms: None,
        };
        ErrorAnswer { error }
    }
}
