//! Relays opaque requests from callers to endpoints and the answers back, with prepaid tokens,
//! endpoint selection, retries and graceful shutdown.
//!
//! The crate depends on no wire format other than HTTP: [`Dialect`] and [`ControlSource`] are
//! implemented elsewhere. The modules that make decisions ([`allowance`], [`domains`], [`endpoints`],
//! [`limits`], [`origins`], [`reach`], [`room`], [`stream`], [`waiting`]) contain no network code; the time and
//! random numbers are passed in.

pub mod allowance;
mod client_connections;
mod context;
pub mod domains;
pub mod endpoints;
pub mod limits;
pub mod model;
pub mod origins;
pub mod peers;
mod ports;
mod process;
mod rate;
pub mod reach;
pub mod room;
mod serve;
mod settings;
mod sockets;
mod stalls;
pub mod stream;
mod sync;
mod transfer;
mod tunnel;
mod units;
pub mod waiting;

pub use self::{
    context::RelayDependencies,
    ports::{
        AnswerHead, ControlSource, Cursor, Dialect, Feed, Forwarding, OperatorChange, OperatorState,
    },
    process::RelayProcess,
    serve::remove_hop_headers,
    settings::{Areas, ColdBounds, HostLimits, RelaySettings},
    sockets::{RelayBindError, RelaySockets},
    transfer::TransferProgress,
};
