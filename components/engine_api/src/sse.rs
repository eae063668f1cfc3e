//! Server-sent events that carry the chunks of a streamed answer.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;

/// Data of the event that ends a complete stream.
pub const DONE_MARK: &str = "[DONE]";

/// Maximum length of an event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Encodes an event that has `value` in JSON as its data.
///
/// # Panics
/// If `value` cannot be serialized as JSON; all types of this crate can.
pub fn encode_event<T: Serialize>(value: &T) -> Bytes {
    let json = serde_json::to_string(value).expect("the value is serializable as JSON");
    format!("data: {json}\n\n").into()
}

/// Decodes a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    /// Received bytes that are not yet decoded.
    buf: BytesMut,
}

impl SseDecoder {
    /// Creates a decoder with an empty buffer.
    pub fn new() -> SseDecoder {
        SseDecoder::default()
    }

    /// Adds received bytes. Returns false if more than the maximum length of an event is
    /// buffered; the stream is then malformed.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_MAX_BYTES
    }

    /// Returns the data of the next complete event and skips events without data; `None` if no
    /// such event is buffered.
    pub fn next_event(&mut self) -> Option<String> {
        loop {
            let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.buf.split_to(end);
            self.buf.advance(2);
            if let Some(data) = event_data(&event) {
                return Some(data);
            }
        }
    }
}

fn event_data(event: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(event).ok()?;
    let lines = text.lines().filter_map(|line| line.strip_prefix("data:"));
    let lines: Vec<_> = lines.map(|line| line.strip_prefix(' ').unwrap_or(line)).collect();
    if lines.is_empty() { None } else { Some(lines.join("\n")) }
}

#[cfg(test)]
#[path = "sse_tests.rs"]
mod tests;
