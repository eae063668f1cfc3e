//! Answers to the requests of a caller.

use bytes::Bytes;

/// A complete answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body; for a streamed answer, its text.
    pub body: Bytes,
    /// Number of billed tokens, if the answer reports its usage.
    pub billed_tokens: Option<u64>,
    /// Number of attempts, including the successful one.
    pub tries: u32,
}
