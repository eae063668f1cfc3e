//! Sockets that a relay is started with.

use std::{io, net::SocketAddr};

use thiserror::Error;
use tokio::net::TcpListener;

use crate::{peers::GossipSocket, serve::bind, settings::RelaySettings};

/// Error when the relay cannot bind one of its addresses.
#[derive(Debug, Error)]
#[error("failed to bind address {address}: {error}")]
pub struct RelayBindError {
    /// Address that could not be bound.
    address: SocketAddr,
    /// Error of the operating system.
    error: io::Error,
}

/// Bound sockets of a relay.
#[derive(Debug)]
pub struct RelaySockets {
    /// Listens for callers.
    pub(crate) callers: TcpListener,
    /// Listen for readiness checks, requests for router addresses, and metrics.
    pub(crate) auxiliary: [TcpListener; 3],
    /// Exchanges messages with other routers.
    pub(crate) gossip: GossipSocket,
}

impl RelaySockets {
    /// Binds all addresses of `settings`. An address with port 0 gets a free port, which is
    /// written to `settings`.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn bind(settings: &mut RelaySettings) -> Result<RelaySockets, RelayBindError> {
        let callers = listen(&mut settings.caller_address)?;
        let auxiliary = [
            listen(&mut settings.ready_address)?,
            listen(&mut settings.directory_address)?,
            listen(&mut settings.metrics_address)?,
        ];
        let address = settings.peer_address;
        let failed = |error| RelayBindError { address, error };
        let gossip = GossipSocket::bind(address).await.map_err(failed)?;
        settings.peer_address = gossip.local_address().map_err(failed)?;
        Ok(RelaySockets { callers, auxiliary, gossip })
    }
}

fn listen(address: &mut SocketAddr) -> Result<TcpListener, RelayBindError> {
    let failed = |error| RelayBindError { address: *address, error };
    let listener = bind(*address).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}
