//! Parsing and timing of server-sent event streams.

mod event_splitter;
mod gap_meter;

pub use self::{
    event_splitter::{Event, EventSplitter, StreamError},
    gap_meter::GapMeter,
};
