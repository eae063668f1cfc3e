//! Errors at the start of a router.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// Error at the start of a router.
#[derive(Debug, Error)]
pub enum StartError {
    /// Listening on an address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
