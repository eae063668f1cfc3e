//! Splits the bytes of a server-sent event stream into complete events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event that is accepted, in bytes.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// One complete event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Id, if the event has one.
    pub id: Option<u64>,
    /// Raw bytes, including the empty line that ends the event.
    pub bytes: Bytes,
}

/// Reason why the bytes are rejected as an event stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamError {
    /// An event is longer than `EVENT_MAX_BYTES`.
    #[error("an event of the stream exceeds the maximum length")]
    EventTooLong,
    /// The ids of the events do not increase.
    #[error("event {found} follows event {last}, but ids must increase")]
    OutOfOrder {
        /// Id of the previous event.
        last: u64,
        /// Id of the offending event.
        found: u64,
    },
}

/// Splits the bytes of a stream into complete events and checks that their ids increase.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last complete event.
    buf: BytesMut,
    /// Number of bytes at the start of `buf` that were already searched for the end of an event.
    scanned: usize,
    /// Id of the last event that had one.
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after event `last_id`.
    pub fn after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next complete event; `None` until more bytes arrive.
    ///
    /// # Errors
    /// Returns an error if an event is too long or its id does not increase.
    pub fn next_event(&mut self) -> Result<Option<Event>, StreamError> {
        let Some(end) = self.find_end() else {
            if self.buf.len() > EVENT_MAX_BYTES {
                return Err(StreamError::EventTooLong);
            }
            return Ok(None);
        };
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = read_id(&bytes);
        if let (Some(last), Some(found)) = (self.last_id, id)
            && found <= last
        {
            return Err(StreamError::OutOfOrder { last, found });
        }
        self.last_id = id.or(self.last_id);
        Ok(Some(Event { id, bytes }))
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the bytes after the last complete event; empty if the stream ended cleanly.
    pub fn rest(&self) -> &[u8] {
        &self.buf
    }

    /// Returns the index after the empty line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let text = &self.buf[from..];
        let end = (0..text.len()).find_map(|index| {
            let rest = &text[index..];
            if rest.starts_with(b"\n\n") {
                Some(index + 2)
            } else if rest.starts_with(b"\n\r\n") {
                Some(index + 3)
            } else {
                None
            }
        });
        self.scanned = self.buf.len();
        end.map(|it| from + it)
    }
}

fn read_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&byte| byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
