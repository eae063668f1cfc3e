//! Bounds on what clients make a process hold: the bodies of their requests.

mod body_book;
mod body_limits;
mod read_body;

pub use self::{
    body_book::{ArrivingBody, BodyBook, BodyLoss, HeldBody},
    body_limits::BodyLimits,
    read_body::{BodyError, discard_body, read_body},
};
