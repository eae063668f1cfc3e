//! Streams of an engine: what of an answer is generated, kept for a while so that an
//! interrupted stream can be resumed.

use std::sync::Arc;

use engine_api::{ChatMessage, Usage};
use tokio::sync::watch;

/// How far an answer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    /// Tokens generated so far.
    pub(crate) tokens: u64,
    /// Whether the answer has ended.
    pub(crate) is_finished: bool,
}

/// One stream.
#[derive(Debug, Clone)]
pub(crate) struct EngineStream {
    /// Prompt, from which the tokens follow.
    pub(crate) messages: Arc<[ChatMessage]>,
    /// Tokens of the answer that the prompt held already.
    pub(crate) skipped: u64,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// How far the answer is. Closed where the engine crashed or the stream was
    /// cancelled.
    pub(crate) progress: watch::Receiver<Progress>,
}

impl EngineStream {
    /// Returns the usage of the answer so far.
    pub(crate) fn usage(&self) -> Usage {
        Usage::new(self.prompt_tokens, self.progress.borrow().tokens)
    }
}
