//! Streams of events.

mod event_splitter;

pub use self::event_splitter::{Event, EventSplitter, StreamFault};
