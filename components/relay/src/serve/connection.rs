//! One HTTP connection to an endpoint, direct or through another router.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::{net::TcpStream, task::AbortHandle};

use crate::room::{ByteCounts, CountedIo};

/// Timeout for opening a connection; usually this takes a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is closed if the endpoint announces no timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Reason why no connection could be opened.
#[derive(Debug, Error)]
pub(crate) enum ConnectError {
    /// The endpoint did not accept the connection in time.
    #[error("connection timed out")]
    TimedOut,
    /// The connection could not be established.
    #[error("connection failed: {0}")]
    Failed(io::Error),
    /// This router has reached its limit of connections to the endpoint.
    #[error("too many connections are open")]
    TooMany,
    /// The HTTP handshake failed.
    #[error("connection unusable: {0}")]
    Unusable(hyper::Error),
}

impl ConnectError {
    /// Returns the label for metrics.
    pub(super) fn label(&self) -> &'static str {
        match self {
            ConnectError::TimedOut => "timed_out",
            ConnectError::Failed(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                "refused"
            }
            ConnectError::Failed(_) => "failed",
            ConnectError::TooMany => "too_many",
            ConnectError::Unusable(_) => "unusable",
        }
    }
}

/// Opens a TCP connection.
pub(super) async fn open_stream(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    connected.await.map_err(|_| ConnectError::TimedOut)?.map_err(ConnectError::Failed)
}

/// An open connection. Dropping it closes it and so cancels a request that runs on it.
#[derive(Debug)]
pub(super) struct Connection {
    /// Sends requests.
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Whether the connection served an earlier request.
    pub(super) is_reused: bool,
    /// Id of the endpoint.
    pub(super) endpoint: Arc<str>,
    /// Router through which it leads; `None` if this router opened it itself.
    pub(super) peer: Option<TunnelPeer>,
    /// Whether it was opened for a single large request.
    pub(super) is_for_large_request: bool,
    /// Idle time after which the connection is no longer reused.
    pub(super) idle_limit: Duration,
    /// Task that drives the connection; aborted on drop.
    driver: DriverTask,
    /// Counts the connection among the endpoint's open ones.
    _count: ConnectionCount,
}

/// Router at the far end of a tunnel.
#[derive(Debug)]
pub(super) struct TunnelPeer {
    /// Name of the router.
    pub(super) name: Arc<str>,
    /// Counts the connection among the tunnels through the router.
    pub(super) _count: ConnectionCount,
}

/// A TCP connection to an endpoint.
#[derive(Debug)]
pub(crate) struct CountedStream {
    /// The connection.
    pub(crate) stream: TcpStream,
    /// Counts it among the endpoint's open ones.
    pub(super) count: ConnectionCount,
}

/// Counts one open connection until dropped.
#[derive(Debug)]
pub(super) struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Counts one more connection; returns `None` if `max` are open already.
    pub(super) fn try_new(open: &Arc<AtomicUsize>, max: usize) -> Option<ConnectionCount> {
        let count = open.fetch_add(1, Ordering::Relaxed);
        let counted = ConnectionCount(open.clone());
        (count < max).then_some(counted)
    }
}

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Aborts the task of a connection when dropped.
#[derive(Debug)]
pub(super) struct DriverTask(AbortHandle);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Reports whether the endpoint has closed it, or it is broken.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed() || self.driver.0.is_finished()
    }

    /// Returns how it was opened, for the log: `kept`, `new`, or `tunnel` if it leads through another
    /// router.
    pub(super) fn label(&self) -> &'static str {
        match (&self.peer, self.is_reused) {
            (Some(_), _) => "tunnel",
            (None, true) => "kept",
            (None, false) => "new",
        }
    }

    /// Reports whether it leads through another router.
    pub(super) fn is_tunnel(&self) -> bool {
        self.peer.is_some()
    }

    /// Sets the idle limit from the timeout that the endpoint announced, in seconds.
    pub(super) fn set_idle_limit(&mut self, seconds: u64) {
        // Half of the timeout, so that no request is sent just as the endpoint closes the
        // connection.
        self.idle_limit = Duration::from_millis(seconds * 500).min(IDLE_TIMEOUT);
    }
}

/// Starts HTTP on an open connection, which leads through `peer` if that is set. Its bytes are counted in
/// `bytes`.
///
/// # Errors
/// Returns an error if the handshake fails.
pub(super) async fn handshake(
    endpoint: &Arc<str>,
    opened: CountedStream,
    peer: Option<TunnelPeer>,
    bytes: Arc<ByteCounts>,
) -> Result<Connection, ConnectError> {
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(CountedIo::new(opened.stream, bytes)))
        .await
        .map_err(ConnectError::Unusable)?;
    let task = tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("connection to an endpoint ended with an error: {error}");
        }
    });
    Ok(Connection {
        sender,
        is_reused: false,
        endpoint: endpoint.clone(),
        peer,
        is_for_large_request: false,
        idle_limit: IDLE_TIMEOUT,
        driver: DriverTask(task.abort_handle()),
        _count: opened.count,
    })
}
