//! Limits on what clients make a process hold: the bodies of their requests, their connections, and what
//! these have received.

mod answer_body;
mod body_book;
mod body_limits;
mod connection;
mod connection_book;
mod connection_limits;
mod inbound_io;
mod read_body;

pub use self::{
    answer_body::AnswerBody,
    body_book::{ArrivingBody, BodyBook, BodyLoss, HeldBody},
    body_limits::BodyLimits,
    connection_book::{ConnectionBook, OpenConnection, RequestInProgress, Requests},
    connection_limits::{ConnectionLimits, HostShare},
    inbound_io::InboundIo,
    read_body::{BodyError, discard_body, read_body},
};
