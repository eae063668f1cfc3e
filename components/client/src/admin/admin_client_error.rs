//! Errors of the administration client.

use admin_api::AdminErrorDetail;
use thiserror::Error;

/// Reason why a call of the administration API failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AdminClientError {
    /// The fleet refused the call.
    #[error("{}: {}", .0.detail.code, .0.detail.message)]
    Refused(Box<AdminErrorDetail>),
    /// No router answered in time. Contains the last error.
    #[error("no router answered in time: {0}")]
    NoAnswer(String),
    /// The answer cannot be parsed; the router may have a different version.
    #[error("the router's answer cannot be parsed: {0}")]
    BadAnswer(String),
    /// The API key cannot be sent in a header.
    #[error("the API key contains characters that are not allowed in an HTTP header")]
    BadKey,
}
