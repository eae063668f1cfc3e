//! Id of a request, chosen by the caller.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Maximum length of a request id, in bytes.
pub const REQUEST_ID_MAX_BYTES: usize = 128;

/// Id of a request. Unique within one client account; all retries of a request use the
/// same id.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RequestId(Arc<str>);

/// Error for a text that is not a valid request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a request id has 1 to {REQUEST_ID_MAX_BYTES} visible ASCII characters without '/'")]
pub struct RequestIdError;

impl RequestId {
    /// Creates the id, or returns an error if `text` is not a valid id.
    pub fn new(text: &str) -> Result<RequestId, RequestIdError> {
        let is_allowed = |byte: u8| byte.is_ascii_graphic() && byte != b'/';
        let is_valid =
            !text.is_empty() && text.len() <= REQUEST_ID_MAX_BYTES && text.bytes().all(is_allowed);
        if is_valid { Ok(RequestId(text.into())) } else { Err(RequestIdError) }
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &*self.0)
    }
}

impl FromStr for RequestId {
    type Err = RequestIdError;

    fn from_str(text: &str) -> Result<RequestId, RequestIdError> {
        RequestId::new(text)
    }
}

impl TryFrom<String> for RequestId {
    type Error = RequestIdError;

    fn try_from(text: String) -> Result<RequestId, RequestIdError> {
        RequestId::new(&text)
    }
}

impl From<RequestId> for String {
    fn from(id: RequestId) -> String {
        id.0.to_string()
    }
}

#[cfg(test)]
#[path = "request_id_tests.rs"]
mod tests;
