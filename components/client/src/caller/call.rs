//! Requests of a caller.

use std::time::Duration;

use bytes::Bytes;
use types::RequestId;

/// A request of a caller. All its attempts carry the same id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// Request id, sent as the idempotency key.
    pub id: RequestId,
    /// Path of the URL, such as `/v1/chat/completions`.
    pub path: String,
    /// Body in JSON.
    pub body: Bytes,
    /// Whether the request asks for an answer as a stream of events.
    pub is_stream: bool,
    /// Timeout of the request, including all its attempts.
    pub timeout: Duration,
}
