//! Errors of the administration client.

use admin_api::AdminErrorDetail;
use thiserror::Error;

/// Why an administration call has no result.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AdminClientError {
    /// The fleet refused the call.
    #[error("{}: {}", .0.detail.code, .0.detail.message)]
    Refused(Box<AdminErrorDetail>),
    /// No router answered in time; the last error of each kind.
    #[error("no router answered in time: {0}")]
    NoAnswer(String),
    /// The answer cannot be read; the router may be of another version.
    #[error("the router's answer cannot be read: {0}")]
    BadAnswer(String),
    /// The key cannot be sent in a header.
    #[error("the key has characters that a header cannot carry")]
    BadKey,
}
