//! Splits the bytes of a stream into whole events.

use bytes::{Bytes, BytesMut};
use thiserror::Error;

/// Longest event, in bytes; a longer one is not a stream that this router relays.
const EVENT_MAX_BYTES: usize = 1 << 20;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Id, where the event has one.
    pub id: Option<u64>,
    /// Bytes, including the empty line that ends the event.
    pub bytes: Bytes,
}

/// Why the bytes are not a stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum StreamFault {
    /// An event is longer than [`EVENT_MAX_BYTES`].
    #[error("an event of the stream is too long")]
    EventTooLong,
    /// The ids of events do not increase by one.
    #[error("event {found} follows event {last}")]
    OutOfOrder {
        /// Id of the event before.
        last: u64,
        /// Id of the event.
        found: u64,
    },
}

/// Splits the bytes of a stream into whole events and checks that their ids increase.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Bytes after the last whole event.
    buf: BytesMut,
    /// Bytes of `buf` in which no end of an event was found.
    scanned: usize,
    /// Id of the last event.
    last_id: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a stream that goes on after event `last_id`.
    pub fn after(last_id: Option<u64>) -> EventSplitter {
        EventSplitter { last_id, ..EventSplitter::default() }
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    ///
    /// # Errors
    /// Where the bytes are not a stream of events in order.
    pub fn next_event(&mut self) -> Result<Option<Event>, StreamFault> {
        let Some(end) = self.find_end() else {
            if self.buf.len() > EVENT_MAX_BYTES {
                return Err(StreamFault::EventTooLong);
            }
            return Ok(None);
        };
        let bytes = self.buf.split_to(end).freeze();
        self.scanned = 0;
        let id = read_id(&bytes);
        if let (Some(last), Some(found)) = (self.last_id, id)
            && found <= last
        {
            return Err(StreamFault::OutOfOrder { last, found });
        }
        self.last_id = id.or(self.last_id);
        Ok(Some(Event { id, bytes }))
    }

    /// Returns the id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the bytes after the last whole event.
    pub fn rest(&self) -> &[u8] {
        &self.buf
    }

    /// Returns where the first event ends: after the empty line.
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
