//! Streams of an engine. They are kept for some time, so that an interrupted stream can be
//! resumed.

use std::sync::Arc;

use engine_api::{ChatMessage, Usage};
use tokio::sync::watch;

/// Progress of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Tokens generated so far.
    pub(crate) tokens: u64,
    /// Whether the answer is complete.
    pub(crate) is_finished: bool,
}

/// The answer to one request while it is generated.
#[derive(Debug, Clone)]
pub(crate) struct EngineStream {
    /// Prompt, which determines the tokens of the answer.
    pub(crate) messages: Arc<[ChatMessage]>,
    /// Number of tokens at the start of the answer that the request already contained.
    pub(crate) skipped: u64,
    /// Number of tokens in the prompt.
    pub(crate) prompt_tokens: u64,
    /// Progress of the answer. Closed before the answer is complete if the engine crashed or the
    /// stream was cancelled.
    pub(crate) progress: watch::Receiver<Progress>,
}

impl EngineStream {
    /// Returns the usage of the answer so far.
    pub(crate) fn usage(&self) -> Usage {
        Usage::new(self.prompt_tokens, self.progress.borrow().tokens)
    }
}
