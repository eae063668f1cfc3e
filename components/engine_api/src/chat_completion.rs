//! Chat completions that are not streamed.

use serde::{Deserialize, Serialize};

use crate::{ChatMessage, Usage};

/// Chat completion that is not streamed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletion {
    /// Id of the request.
    pub id: String,
    /// Always `chat.completion`.
    pub object: String,
    /// Model name.
    pub model: String,
    /// One choice.
    pub choices: Vec<CompletionChoice>,
    /// Tokens used by the request.
    pub usage: Usage,
}

/// Choice in a [`ChatCompletion`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Always 0.
    pub index: u32,
    /// Message that answers the request.
    pub message: ChatMessage,
    /// Why the answer ended.
    pub finish_reason: String,
}

impl ChatCompletion {
    /// Creates a completion with the answer `text`.
    pub fn new(
        id: &str,
        model: &str,
        text: &str,
        finish_reason: &str,
        usage: Usage,
    ) -> ChatCompletion {
        let choice = CompletionChoice {
            index: 0,
            message: ChatMessage::from_text("assistant", text),
            finish_reason: finish_reason.to_owned(),
        };
        ChatCompletion {
            id: id.to_owned(),
            object: "chat.completion".to_owned(),
            model: model.to_owned(),
            choices: vec![choice],
            usage,
        }
    }
}
