//! Calls of a caller.

use std::time::Duration;

use bytes::Bytes;
use types::RequestId;

/// One request of a caller. All its tries carry the same id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Id of the request.
    pub id: RequestId,
    /// Path, such as `/v1/chat/completions`.
    pub path: String,
    /// Body, as JSON.
    pub body: Bytes,
    /// Whether the answer is a stream of events.
    pub is_stream: bool,
    /// Longest time for all tries together.
    pub timeout: Duration,
}
