//! Answers that a caller gets.

use bytes::Bytes;

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Body: of a streamed answer the text.
    pub body: Bytes,
    /// Tokens billed, where the answer says so.
    pub billed_tokens: Option<u64>,
    /// Number of tries that it took.
    pub tries: u32,
}
