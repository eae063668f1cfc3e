//! Answers as they are kept in a row or an object.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// A whole answer as it is kept in an intent row or in the object store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body.
    pub body: AnswerBody,
    /// Why a chat answer ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Arc<str>>,
    /// Tokens of the prompt that were billed.
    pub prompt_tokens: u64,
    /// Tokens of the answer that were billed.
    pub completion_tokens: u64,
}

/// Body of a stored answer: readable where it is text.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerBody {
    /// UTF-8 text.
    Text(String),
    /// Any bytes, as hexadecimal digits.
    Bytes(#[serde_as(as = "Hex")] Vec<u8>),
}

impl AnswerBody {
    /// Creates the body of `bytes`.
    pub fn from_bytes(bytes: &[u8]) -> AnswerBody {
        match std::str::from_utf8(bytes) {
            Ok(text) => AnswerBody::Text(text.to_owned()),
            Err(_) => AnswerBody::Bytes(bytes.to_vec()),
        }
    }

    /// Returns the bytes.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            AnswerBody::Text(text) => text.as_bytes(),
            AnswerBody::Bytes(bytes) => bytes,
        }
    }
}
