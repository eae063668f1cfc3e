//! Relays opaque requests to endpoints: the way of a request from its caller to an endpoint
//! and back, with prepaid tokens, endpoint choice, retries and shutdown.
//!
//! The crate knows no wire format but HTTP itself: [`Dialect`] and [`ControlSource`] are
//! implemented elsewhere. The decisions ([`allowance`], [`endpoints`], [`limits`],
//! [`stream`]) have no network code; they get the time and random numbers passed in.

pub mod allowance;
mod context;
pub mod endpoints;
pub mod limits;
pub mod model;
pub mod peers;
mod ports;
mod process;
mod rate;
mod serve;
mod settings;
pub mod stream;
mod sync;
mod units;

pub use self::{
    context::RelayDependencies,
    ports::{AnswerHead, ControlSource, Cursor, Dialect, Feed, Forwarding},
    process::{RelayProcess, RelayStartError},
    serve::remove_hop_headers,
    settings::RelaySettings,
};
