//! Room of routers: how much more each one takes, and what follows from it for lists of addresses and
//! for what a router refuses.
//!
//! Hosts may differ in link and processor by a factor of twenty. The load that this answers: one account
//! that sends a fifth of all requests, with long prompts, over a few connections that lead to a small host.

mod arrival_delay;
mod body_times;
mod byte_counts;
mod listing;
mod meter;
mod room_book;
mod router_room;

pub(crate) use self::byte_counts::{ByteCounts, CountedIo};
pub use self::{
    arrival_delay::ArrivalDelay,
    body_times::BodyTimes,
    listing::{ListedRouter, draw_list, is_crowded, is_drawn_by_room},
    meter::{RoomMeter, RoomSample},
    room_book::RoomBook,
    router_room::{Bound, RouterRoom},
};
