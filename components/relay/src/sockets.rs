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
    /// Listens for readiness checks.
    pub(crate) ready: TcpListener,
    /// Listens for requests for router addresses.
    pub(crate) directory: TcpListener,
    /// Serves the metrics.
    pub(crate) metrics: TcpListener,
    /// Exchanges messages with other routers.
    pub(crate) gossip: GossipSocket,
    /// Accepts connections of other routers at the same port.
    pub(crate) tunnels: TcpListener,
}

/// Number of tries to find a port that is free both for messages and for connections.
const PEER_PORT_TRIES: usize = 8;

impl RelaySockets {
    /// Binds all addresses of `settings`. An address with port 0 gets a free port, which is
    /// written to `settings`.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub async fn bind(settings: &mut RelaySettings) -> Result<RelaySockets, RelayBindError> {
        let callers = listen(&mut settings.caller_address)?;
        let ready = listen(&mut settings.ready_address)?;
        let directory = listen(&mut settings.directory_address)?;
        let metrics = listen(&mut settings.metrics_address)?;
        let (gossip, tunnels) = bind_peer_address(&mut settings.peer_address).await?;
        Ok(RelaySockets { callers, ready, directory, metrics, gossip, tunnels })
    }
}

/// Binds the same port for messages and for connections. If `address` has port 0, another one is
/// tried if the first is free for one of them only.
async fn bind_peer_address(
    address: &mut SocketAddr,
) -> Result<(GossipSocket, TcpListener), RelayBindError> {
    let mut tries = if address.port() == 0 { PEER_PORT_TRIES } else { 1 };
    loop {
        let mut bound = *address;
        let tunnels = listen(&mut bound)?;
        tries -= 1;
        match GossipSocket::bind(bound).await {
            Ok(gossip) => {
                *address = bound;
                return Ok((gossip, tunnels));
            }
            Err(_) if tries > 0 => {}
            Err(error) => return Err(RelayBindError { address: bound, error }),
        }
    }
}

fn listen(address: &mut SocketAddr) -> Result<TcpListener, RelayBindError> {
    let failed = |error| RelayBindError { address: *address, error };
    let listener = bind(*address).map_err(failed)?;
    *address = listener.local_addr().map_err(failed)?;
    Ok(listener)
}
