//! Pool of HTTP connections to endpoints.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};
use utils::{HashMap, HashSet};

/// Timeout for opening a connection; usually this takes a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection to an endpoint that acknowledges neither data nor keep-alive probes
/// is closed (`TCP_USER_TIMEOUT`). On Linux it also replaces the number of unanswered probes: the
/// first probe that is due after it closes the connection. More than two [`KEEP_ALIVE_INTERVAL`]s, so
/// that one lost probe closes none.
const ENDPOINT_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time after which a connection to an endpoint on which nothing arrives is probed, and time between
/// probes. Linux takes whole seconds.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a caller's connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`):
/// longer than callers wait for an answer or leave one unread.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(15);

/// Idle time after which a connection is closed if the endpoint announces no timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of idle connections kept per endpoint.
const IDLE_MAX: usize = 32;

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
    fn label(&self) -> &'static str {
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

async fn open_stream(address: SocketAddr) -> Result<TcpStream, ConnectError> {
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
    endpoint: Arc<str>,
    /// Router through which it leads; `None` if this router opened it itself.
    peer: Option<TunnelPeer>,
    /// Idle time after which the connection is no longer reused.
    idle_limit: Duration,
    /// Task that drives the connection; aborted on drop.
    driver: DriverTask,
    /// Counts the connection among the endpoint's open ones.
    _count: ConnectionCount,
}

/// Router at the far end of a tunnel.
#[derive(Debug)]
struct TunnelPeer {
    /// Name of the router.
    name: Arc<str>,
    /// Counts the connection among the tunnels through the router.
    _count: ConnectionCount,
}

/// A TCP connection to an endpoint.
#[derive(Debug)]
pub(crate) struct CountedStream {
    /// The connection.
    pub(crate) stream: TcpStream,
    /// Counts it among the endpoint's open ones.
    count: ConnectionCount,
}

/// Counts one open connection until dropped.
#[derive(Debug)]
struct ConnectionCount(Arc<AtomicUsize>);

impl ConnectionCount {
    /// Counts one more connection; returns `None` if `max` are open already.
    fn try_new(open: &Arc<AtomicUsize>, max: usize) -> Option<ConnectionCount> {
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
struct DriverTask(AbortHandle);

impl Drop for DriverTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
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

/// A connection that is kept for reuse.
#[derive(Debug)]
struct IdleConnection {
    /// The connection.
    connection: Connection,
    /// When it became idle.
    since: Instant,
}

/// Numbers of open connections by name.
type OpenCounts = Mutex<HashMap<Arc<str>, Arc<AtomicUsize>>>;

/// Pool of connections, keyed by the endpoint's id.
#[derive(Debug, Default)]
pub(crate) struct EndpointConnections {
    /// Idle connections per endpoint, the most recently used last.
    idle: Mutex<HashMap<Arc<str>, Vec<IdleConnection>>>,
    /// Number of open connections per endpoint, idle and in use.
    open_counts: OpenCounts,
    /// Number of those that lead through another router, per router.
    tunnel_counts: OpenCounts,
}

impl EndpointConnections {
    /// Opens a new connection if fewer than `max` are open.
    ///
    /// # Errors
    /// Returns an error if `max` are open already, or the endpoint did not accept it.
    pub(super) async fn connect(
        &self,
        endpoint: &Arc<str>,
        address: SocketAddr,
        max: usize,
    ) -> Result<Connection, ConnectError> {
        let opened = self.open(endpoint, address, max).await?;
        handshake(endpoint, opened, None).await
    }

    /// Opens a TCP connection if fewer than `max` are open.
    ///
    /// # Errors
    /// Returns an error if `max` are open already, or the endpoint did not accept it.
    pub(crate) async fn open(
        &self,
        endpoint: &Arc<str>,
        address: SocketAddr,
        max: usize,
    ) -> Result<CountedStream, ConnectError> {
        let count = count_one(&self.open_counts, endpoint, max)?;
        let stream = open_stream(address).await;
        let outcome = stream.as_ref().err().map_or("opened", ConnectError::label);
        metrics::counter!(telemetry::ENDPOINT_CONNECTS_TOTAL, "outcome" => outcome).increment(1);
        let stream = stream?;
        set_endpoint_socket_options(&stream);
        Ok(CountedStream { stream, count })
    }

    /// Opens a connection on a tunnel through another router if fewer than `max` are open to the
    /// endpoint.
    ///
    /// # Errors
    /// Returns an error if `max` are open already, or the connection is not usable.
    pub(super) async fn connect_through(
        &self,
        peer: &Arc<str>,
        endpoint: &Arc<str>,
        stream: TcpStream,
        max: usize,
    ) -> Result<Connection, ConnectError> {
        let count = count_one(&self.open_counts, endpoint, max)?;
        let tunnel_count = count_one(&self.tunnel_counts, peer, usize::MAX)?;
        let peer = TunnelPeer { name: peer.clone(), _count: tunnel_count };
        handshake(endpoint, CountedStream { stream, count }, Some(peer)).await
    }

    /// Returns the number of open tunnels through another router.
    pub(super) fn tunnels_through(&self, peer: &str) -> usize {
        lock(&self.tunnel_counts).get(peer).map_or(0, |it| it.load(Ordering::Relaxed))
    }

    /// Closes the idle connections that this router opened itself: to `endpoint`, or to all
    /// endpoints if `None`.
    pub(super) fn close_idle_direct(&self, endpoint: Option<&str>) {
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        for (id, kept) in &mut *idle {
            if endpoint.is_none_or(|it| **id == *it) {
                kept.retain(|it| it.connection.is_tunnel());
            }
        }
    }

    /// Returns a connection to the pool after its answer was read to the end.
    pub(super) fn release(&self, mut connection: Connection) {
        if connection.sender.is_closed() || connection.driver.0.is_finished() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        let kept = idle.entry(connection.endpoint.clone()).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    /// Closes idle connections that have reached their idle limit, those to endpoints for which
    /// `is_known` returns `false`, and tunnels through routers for which `is_peer_usable` does.
    pub(crate) fn prune(
        &self,
        is_known: impl Fn(&str) -> bool,
        is_peer_usable: impl Fn(&str) -> bool,
    ) {
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        for kept in idle.values_mut() {
            kept.retain(|it| {
                let peer = it.connection.peer.as_ref();
                is_usable(it) && peer.is_none_or(|it| is_peer_usable(&it.name))
            });
        }
        idle.retain(|endpoint, kept| !kept.is_empty() && is_known(endpoint));
        drop(idle);
        for counts in [&self.open_counts, &self.tunnel_counts] {
            lock(counts).retain(|_, open| open.load(Ordering::Relaxed) > 0);
        }
    }

    /// Returns the ids of the endpoints that have idle connections.
    pub(crate) fn endpoints(&self) -> HashSet<Arc<str>> {
        self.idle.lock().expect("the lock is not poisoned").keys().cloned().collect()
    }

    /// Takes an idle connection to an endpoint. Tunnels through routers for which `is_peer_usable`
    /// returns `false` are closed instead.
    pub(super) fn take_idle(
        &self,
        endpoint: &str,
        is_peer_usable: impl Fn(&str) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        let kept = idle.get_mut(endpoint)?;
        while let Some(it) = kept.pop() {
            let peer = it.connection.peer.as_ref();
            let is_path_usable = peer.is_none_or(|it| is_peer_usable(&it.name));
            if is_path_usable && is_usable(&it) && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }
}

fn lock(counts: &OpenCounts) -> MutexGuard<'_, HashMap<Arc<str>, Arc<AtomicUsize>>> {
    counts.lock().expect("the lock is not poisoned")
}

/// Counts one more connection under `name`.
///
/// # Errors
/// Returns an error if `max` are open already.
fn count_one(
    counts: &OpenCounts,
    name: &Arc<str>,
    max: usize,
) -> Result<ConnectionCount, ConnectError> {
    let open = lock(counts).entry(name.clone()).or_default().clone();
    ConnectionCount::try_new(&open, max).ok_or(ConnectError::TooMany)
}

fn is_usable(idle: &IdleConnection) -> bool {
    let connection = &idle.connection;
    !connection.sender.is_closed() && idle.since.elapsed() < connection.idle_limit
}

async fn handshake(
    endpoint: &Arc<str>,
    opened: CountedStream,
    peer: Option<TunnelPeer>,
) -> Result<Connection, ConnectError> {
    let (sender, connection) = http1::Builder::new()
        .handshake(TokioIo::new(opened.stream))
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
        idle_limit: IDLE_TIMEOUT,
        driver: DriverTask(task.abort_handle()),
        _count: opened.count,
    })
}

/// Sets the options of a connection to an endpoint. A path that does not acknowledge what was sent
/// counts as broken after [`ENDPOINT_UNACKNOWLEDGED_TIMEOUT`], and one that carries nothing after two
/// unanswered keep-alive probes, so that the request can go elsewhere. An endpoint whose process is silent
/// still acknowledges both.
pub(crate) fn set_endpoint_socket_options(stream: &TcpStream) {
    set_socket_options(stream, ENDPOINT_UNACKNOWLEDGED_TIMEOUT);
    enable_keep_alive(stream);
}

/// Sets the options of a connection on which another router opens a tunnel through this one. That
/// router reads answers no faster than its callers, so the connection is given up no earlier than
/// theirs; keep-alive probes find a router that is gone while nothing is sent.
pub(crate) fn set_tunnel_socket_options(stream: &TcpStream) {
    set_socket_options(stream, CALLER_UNACKNOWLEDGED_TIMEOUT);
    enable_keep_alive(stream);
}

fn enable_keep_alive(stream: &TcpStream) {
    let keep_alive =
        TcpKeepalive::new().with_time(KEEP_ALIVE_INTERVAL).with_interval(KEEP_ALIVE_INTERVAL);
    if let Err(error) = SockRef::from(stream).set_tcp_keepalive(&keep_alive) {
        log::debug!("failed to enable keep-alive probes: {error}");
    }
}

/// Sets the options of a caller's connection. A caller that acknowledges late, or does not read while
/// its window is full, still gets its answer; [`CALLER_UNACKNOWLEDGED_TIMEOUT`] bounds how long the
/// answers to callers that have vanished keep their endpoints and tokens.
pub(super) fn set_caller_socket_options(stream: &TcpStream) {
    set_socket_options(stream, CALLER_UNACKNOWLEDGED_TIMEOUT);
}

/// Disables Nagle's algorithm and sets `TCP_USER_TIMEOUT`.
fn set_socket_options(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(unacknowledged_timeout)));
    if let Err(error) = set {
        log::debug!("failed to set socket options: {error}");
    }
}
