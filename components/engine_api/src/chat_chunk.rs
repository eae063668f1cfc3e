//! Chunks of a streamed chat completion.

use serde::{Deserialize, Serialize};

use crate::Usage;

/// Chunk of a streamed chat completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Id of the request.
    pub id: String,
    /// Always `chat.completion.chunk`.
    pub object: String,
    /// Model name.
    pub model: String,
    /// One choice, or none in the chunk that reports the final usage.
    pub choices: Vec<ChunkChoice>,
    /// Tokens used so far, if the chunk reports them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}

/// Choice in a [`ChatChunk`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkChoice {
    /// Always 0.
    pub index: u32,
    /// Addition to the answer.
    pub delta: ChunkDelta,
    /// Why the answer ended; set only in the chunk that ends it.
    pub finish_reason: Option<String>,
}

/// Addition of a chunk to the answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkDelta {
    /// Role of the author; set only in the first chunk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub role: Option<String>,
    /// Text to append.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub content: Option<String>,
}

impl ChatChunk {
    /// Creates a chunk that adds `text`.
    pub fn from_text(id: &str, model: &str, text: &str) -> ChatChunk {
        let delta = ChunkDelta { role: None, content: Some(text.to_owned()) };
        ChatChunk::from_choice(id, model, ChunkChoice { index: 0, delta, finish_reason: None })
    }

    /// Creates the chunk that ends the answer.
    pub fn from_finish(id: &str, model: &str, reason: &str) -> ChatChunk {
        let finish_reason = Some(reason.to_owned());
        let choice = ChunkChoice { index: 0, delta: ChunkDelta::default(), finish_reason };
        ChatChunk::from_choice(id, model, choice)
    }

    /// Creates the chunk that reports the final usage.
    pub fn from_usage(id: &str, model: &str, usage: Usage) -> ChatChunk {
        ChatChunk { choices: Vec::new(), usage: Some(usage), ..ChatChunk::empty(id, model) }
    }

    /// Returns the text that the chunk adds; empty if it adds none.
    pub fn text(&self) -> &str {
        let delta = self.choices.first().map(|choice| &choice.delta);
        delta.and_then(|delta| delta.content.as_deref()).unwrap_or_default()
    }

    /// Returns why the answer ended; `None` if this chunk does not end it.
    pub fn finish_reason(&self) -> Option<&str> {
        self.choices.first()?.finish_reason.as_deref()
    }

    fn from_choice(id: &str, model: &str, choice: ChunkChoice) -> ChatChunk {
        ChatChunk { choices: vec![choice], ..ChatChunk::empty(id, model) }
    }

    fn empty(id: &str, model: &str) -> ChatChunk {
        ChatChunk {
            id: id.to_owned(),
            object: "chat.completion.chunk".to_owned(),
            model: model.to_owned(),
            choices: Vec::new(),
            usage: None,
        }
    }
}
