//! Server-sent events that carry the chunks of an answer.

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;

/// Data of the event that ends a stream.
pub const DONE_MARK: &str = "[DONE]";

/// Longest event, in bytes.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// Encodes one event whose data is `value` as JSON.
///
/// # Panics
/// Where `value` has no JSON form; the types of this crate all have one.
pub fn encode_event<T: Serialize>(value: &T) -> Bytes {
    let json = serde_json::to_string(value).expect("chunks have a JSON form");
    format!("data: {json}\n\n").into()
}

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct SseDecoder {
    /// Bytes of the event that is not yet whole.
    buf: BytesMut,
}

impl SseDecoder {
    /// Creates a decoder.
    pub fn new() -> SseDecoder {
        SseDecoder::default()
    }

    /// Adds received bytes; false where an event is longer than any allowed one.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_MAX_BYTES
    }

    /// Returns the data of the next whole event.
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
mod tests {
    use super::*;

    #[test]
    fn events_survive_a_split_anywhere() {
        let stream = b": comment\n\ndata: {\"a\":1}\n\ndata: [DONE]\n\n";
        for cut in 0..stream.len() {
            let mut decoder = SseDecoder::new();
            let mut events = Vec::new();
            for part in [&stream[..cut], &stream[cut..]] {
                assert!(decoder.push(part));
                events.extend(std::iter::from_fn(|| decoder.next_event()));
            }
            assert_eq!(events, ["{\"a\":1}", DONE_MARK]);
        }
    }

    #[test]
    fn endless_event_is_refused() {
        let mut decoder = SseDecoder::new();
        assert!(!decoder.push(&vec![b'x'; EVENT_MAX_BYTES + 1]));
    }
}
