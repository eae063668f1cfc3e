//! Why a router did not start.

use std::{io, net::SocketAddr};

use thiserror::Error;

/// Why a router did not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address cannot be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a thread: {0}")]
    Thread(#[from] io::Error),
}
