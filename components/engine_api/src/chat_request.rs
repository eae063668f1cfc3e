//! Requests for chat completions.

use serde::{Deserialize, Serialize};

/// A request for a chat completion. Fields that the router does not know are passed
/// on to the engine unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model name as the caller wrote it.
    pub model: String,
    /// Conversation, oldest message first.
    pub messages: Vec<ChatMessage>,
    /// Longest answer, in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether the answer is to be streamed.
    #[serde(default)]
    pub stream: bool,
    /// Options of a streamed answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// Whether the engine is to continue the last message rather than to answer it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub continue_final_message: bool,
    /// All other fields.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text, or a list of typed parts such as photos.
    pub content: serde_json::Value,
}

/// Options of a streamed answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a usage record follows the answer.
    #[serde(default)]
    pub include_usage: bool,
}

impl ChatMessage {
    /// Creates a message of plain text.
    pub fn from_text(role: &str, text: &str) -> ChatMessage {
        ChatMessage { role: role.to_owned(), content: text.into() }
    }
}
