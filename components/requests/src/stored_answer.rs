//! Answers stored in intent rows and in the object store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

/// A complete answer, as stored in an intent row or in the object store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: Arc<str>,
    /// Complete body.
    pub body: AnswerBody,
    /// Why a chat completion ended; `None` for other answers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Arc<str>>,
    /// Billed tokens of the prompt.
    pub prompt_tokens: u64,
    /// Billed tokens of the answer.
    pub completion_tokens: u64,
}

/// Body of a stored answer. Text is stored as it is, so that the stored form is readable.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnswerBody {
    /// UTF-8 text.
    Text(String),
    /// Bytes that are not UTF-8, stored as hexadecimal digits.
    Bytes(#[serde_as(as = "Hex")] Vec<u8>),
}

impl AnswerBody {
    /// Creates a text body if `bytes` are UTF-8, and a binary body otherwise.
    pub fn from_bytes(bytes: &[u8]) -> AnswerBody {
        match std::str::from_utf8(bytes) {
            Ok(text) => AnswerBody::Text(text.to_owned()),
            Err(_) => AnswerBody::Bytes(bytes.to_vec()),
        }
    }

    /// Returns the bytes of the original body.
    pub fn as_bytes(&self) -> &[u8] {
        match self {
            AnswerBody::Text(text) => text.as_bytes(),
            AnswerBody::Bytes(bytes) => bytes,
        }
    }
}
