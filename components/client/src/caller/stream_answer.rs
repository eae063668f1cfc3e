//! Collection of a streamed answer.

use bytes::Bytes;
use engine_api::{ChatChunk, DONE_MARK, SseDecoder, Usage};
use errors::{ErrorAnswer, ErrorDetail};

/// Collects a streamed answer from its events.
#[derive(Debug, Default)]
pub(super) struct StreamAnswer {
    /// Splits the stream into events.
    decoder: SseDecoder,
    /// Text received so far.
    text: String,
    /// Last usage that a chunk reported.
    usage: Option<Usage>,
    /// Error event, if the stream contained one.
    error: Option<ErrorDetail>,
    /// Whether [`DONE_MARK`] arrived. Without it the answer is incomplete.
    is_done: bool,
}

impl StreamAnswer {
    /// Adds received bytes and returns the text that they complete; `None` if the stream is
    /// malformed.
    pub(super) fn push(&mut self, bytes: &Bytes) -> Option<String> {
        if !self.decoder.push(bytes) {
            return None;
        }
        let mut added = String::new();
        while let Some(data) = self.decoder.next_event() {
            if data == DONE_MARK {
                self.is_done = true;
            } else if let Ok(chunk) = serde_json::from_str::<ChatChunk>(&data) {
                added.push_str(chunk.text());
                self.usage = chunk.usage.or(self.usage);
            } else {
                self.error = Some(serde_json::from_str::<ErrorAnswer>(&data).ok()?.error);
            }
        }
        self.text.push_str(&added);
        Some(added)
    }

    /// Returns the complete text and its usage, or the error of the stream; `None` if the
    /// stream ended early.
    pub(super) fn finish(self) -> Option<Result<(Bytes, Option<Usage>), ErrorDetail>> {
        match self.error {
            Some(error) => Some(Err(error)),
            None if self.is_done => Some(Ok((self.text.into(), self.usage))),
            None => None,
        }
    }
}
