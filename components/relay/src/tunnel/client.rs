//! Opens tunnels through other routers.

use std::{net::SocketAddr, time::Duration};

use futures::{SinkExt, StreamExt};
use prost::Message;
use thiserror::Error;
use tokio::net::TcpStream;

use super::message::{TunnelOutcome, TunnelReply, TunnelRequest, encode, frames};
use crate::{endpoints::Placement, serve::set_endpoint_socket_options};

/// Timeout for opening a tunnel, including the far end's connection to the endpoint.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Reason why a tunnel was not opened. Nothing was sent to the endpoint.
#[derive(Debug, Error)]
pub(crate) enum TunnelError {
    /// The endpoint's address refused the other router's connection.
    #[error("the endpoint refused the other router's connection")]
    EndpointRefused,
    /// The endpoint did not answer the other router.
    #[error("the endpoint did not answer the other router")]
    EndpointUnreachable,
    /// The other router cannot help.
    #[error("the other router cannot help: {0}")]
    PeerUnable(&'static str),
    /// The other router did not answer in time.
    #[error("the other router did not answer in time")]
    TimedOut,
    /// The connection to the other router failed.
    #[error("the connection to the other router failed: {0}")]
    Failed(std::io::Error),
}

/// Opens a tunnel to the endpoint of `placement` through the router at `peer`.
///
/// # Errors
/// If the tunnel could not be opened.
pub(crate) async fn open_tunnel(
    peer: SocketAddr,
    placement: &Placement,
) -> Result<TcpStream, TunnelError> {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, exchange(peer, placement)).await;
    opened.map_err(|_| TunnelError::TimedOut)?
}

async fn exchange(peer: SocketAddr, placement: &Placement) -> Result<TcpStream, TunnelError> {
    let stream = TcpStream::connect(peer).await.map_err(TunnelError::Failed)?;
    set_endpoint_socket_options(&stream, false);
    let mut frames = frames(stream);
    let request = TunnelRequest {
        endpoint: placement.endpoint.to_string(),
        started_at_ms: placement.process.started_at_ms,
    };
    frames.send(encode(&request)).await.map_err(TunnelError::Failed)?;
    let frame = frames.next().await.transpose().map_err(TunnelError::Failed)?;
    let frame = frame.ok_or(TunnelError::PeerUnable("it closed the connection"))?;
    let reply = TunnelReply::decode(frame)
        .map_err(|_| TunnelError::PeerUnable("its reply is malformed"))?;
    match TunnelOutcome::try_from(reply.outcome).unwrap_or(TunnelOutcome::Unspecified) {
        TunnelOutcome::Opened => {}
        TunnelOutcome::Refused => return Err(TunnelError::EndpointRefused),
        TunnelOutcome::Unreachable => return Err(TunnelError::EndpointUnreachable),
        TunnelOutcome::CutOff => return Err(TunnelError::PeerUnable("it is cut off itself")),
        TunnelOutcome::Busy => return Err(TunnelError::PeerUnable("it is busy")),
        TunnelOutcome::UnknownEndpoint => {
            return Err(TunnelError::PeerUnable("it does not know the endpoint"));
        }
        TunnelOutcome::Unspecified => return Err(TunnelError::PeerUnable("unknown outcome")),
    }
    let parts = frames.into_parts();
    // An endpoint sends nothing before it has received a request.
    if !parts.read_buf.is_empty() {
        return Err(TunnelError::PeerUnable("it sent bytes before the request"));
    }
    Ok(parts.io)
}
