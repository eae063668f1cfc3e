//! Requests for chat completions.

use serde::{Deserialize, Serialize};

/// Request for a chat completion. Fields unknown to the router are passed on to the engine
/// unchanged.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model name as given by the caller.
    pub model: String,
    /// Messages of the conversation, oldest first.
    pub messages: Vec<ChatMessage>,
    /// Maximum length of the answer, in tokens.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u64>,
    /// Whether to stream the answer.
    #[serde(default)]
    pub stream: bool,
    /// Options for a streamed answer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
    /// Whether the engine continues the last message instead of answering it.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub continue_final_message: bool,
    /// All fields unknown to the router.
    #[serde(flatten)]
    pub other: serde_json::Map<String, serde_json::Value>,
}

/// Message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author: `system`, `user` or `assistant`.
    pub role: String,
    /// Text, or a list of typed parts such as images.
    pub content: serde_json::Value,
}

/// Options for a streamed answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOptions {
    /// Whether a chunk with the usage follows the answer.
    #[serde(default)]
    pub include_usage: bool,
}

impl ChatMessage {
    /// Creates a message with plain text as its content.
    pub fn from_text(role: &str, text: &str) -> ChatMessage {
        ChatMessage { role: role.to_owned(), content: text.into() }
    }
}
