//! Collects a streamed answer.

use bytes::Bytes;
use engine_api::{ChatChunk, DONE_MARK, SseDecoder, Usage};
use errors::{ErrorAnswer, ErrorDetail};

/// Collects a streamed answer.
#[derive(Debug, Default)]
pub(super) struct StreamAnswer {
    /// Splits the stream into events.
    decoder: SseDecoder,
    /// Text so far.
    text: String,
    /// Final usage record.
    usage: Option<Usage>,
    /// Error that ended the stream.
    error: Option<ErrorDetail>,
    /// Whether the final mark arrived. The answer is whole only then.
    is_done: bool,
}

impl StreamAnswer {
    /// Adds received bytes; returns the text that they add, or `None` where the stream
    /// is malformed.
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

    /// Returns the whole text and its usage, the error that ended the stream, or `None`
    /// where the stream broke off.
    pub(super) fn finish(self) -> Option<Result<(Bytes, Option<Usage>), ErrorDetail>> {
        match self.error {
            Some(error) => Some(Err(error)),
            None if self.is_done => Some(Ok((self.text.into(), self.usage))),
            None => None,
        }
    }
}
