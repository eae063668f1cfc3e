//! Parsing and timing of server-sent event streams.

mod event_splitter;
mod pause_meter;

pub use self::{
    event_splitter::{Event, EventSplitter, StreamError},
    pause_meter::PauseMeter,
};
