//! Parsing of server-sent event streams.

mod event_splitter;

pub use self::event_splitter::{Event, EventSplitter, StreamError};
