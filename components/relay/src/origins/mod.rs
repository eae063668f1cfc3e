//! Where streams began: which version of the endpoints' software wrote their first event. A stream may
//! only go on at that version, also if its caller takes it up at another router.

mod begun_streams;
mod decision;
mod named_versions;
mod origin_book;
mod queries;

pub use self::{
    begun_streams::{BegunStreams, BegunStreamsRow},
    decision::{TakeUp, VersionView, decide_take_up},
    named_versions::{NamedVersionsRow, REFRESH_INTERVAL},
    origin_book::{Origin, OriginBook, OriginRecord, StreamKey},
    queries::{OriginAnswer, OriginQueries, QueryResult},
};
