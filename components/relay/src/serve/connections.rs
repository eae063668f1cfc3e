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
/// first probe that is due after it closes the connection. Less than two [`KEEP_ALIVE_INTERVAL`]s, so
/// that this is the second one.
const ENDPOINT_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_900);

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
pub(super) enum ConnectError {
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
    /// Idle time after which the connection is no longer reused.
    idle_limit: Duration,
    /// Task that drives the connection; aborted on drop.
    driver: DriverTask,
    /// Counts the connection among the endpoint's open ones.
    _count: ConnectionCount,
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

/// Pool of connections, keyed by the endpoint's id.
#[derive(Debug, Default)]
pub(crate) struct EndpointConnections {
    /// Idle connections per endpoint, the most recently used last.
    idle: Mutex<HashMap<Arc<str>, Vec<IdleConnection>>>,
    /// Number of open connections per endpoint, idle and in use.
    open_counts: Mutex<HashMap<Arc<str>, Arc<AtomicUsize>>>,
}

impl EndpointConnections {
    /// Returns an idle connection, or opens one if fewer than `max` are open.
    ///
    /// # Errors
    /// Returns an error if none is idle and none could be opened.
    pub(super) async fn acquire(
        &self,
        endpoint: &Arc<str>,
        address: SocketAddr,
        max: usize,
    ) -> Result<Connection, ConnectError> {
        match self.take_idle(endpoint) {
            Some(connection) => Ok(connection),
            None => self.connect(endpoint, address, max).await,
        }
    }

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
        let open = self.lock_open().entry(endpoint.clone()).or_default().clone();
        let counted = ConnectionCount::try_new(&open, max).ok_or(ConnectError::TooMany)?;
        let stream = open_stream(address).await;
        let outcome = stream.as_ref().err().map_or("opened", ConnectError::label);
        metrics::counter!(telemetry::ENDPOINT_CONNECTS_TOTAL, "outcome" => outcome).increment(1);
        let stream = stream?;
        set_endpoint_socket_options(&stream);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
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
            idle_limit: IDLE_TIMEOUT,
            driver: DriverTask(task.abort_handle()),
            _count: counted,
        })
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

    /// Closes idle connections that have reached their idle limit, and those to endpoints for which
    /// `is_known` returns `false`.
    pub(crate) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        for kept in idle.values_mut() {
            kept.retain(is_usable);
        }
        idle.retain(|endpoint, kept| !kept.is_empty() && is_known(endpoint));
        drop(idle);
        self.lock_open().retain(|_, open| open.load(Ordering::Relaxed) > 0);
    }

    /// Returns the ids of the endpoints that have idle connections.
    pub(crate) fn endpoints(&self) -> HashSet<Arc<str>> {
        self.idle.lock().expect("the lock is not poisoned").keys().cloned().collect()
    }

    fn lock_open(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<AtomicUsize>>> {
        self.open_counts.lock().expect("the lock is not poisoned")
    }

    fn take_idle(&self, endpoint: &Arc<str>) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("the lock is not poisoned");
        let kept = idle.get_mut(endpoint)?;
        while let Some(it) = kept.pop() {
            if is_usable(&it) && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }
}

fn is_usable(idle: &IdleConnection) -> bool {
    let connection = &idle.connection;
    !connection.sender.is_closed() && idle.since.elapsed() < connection.idle_limit
}

/// Sets the options of a connection to an endpoint. A path that does not acknowledge what was sent
/// counts as broken after [`ENDPOINT_UNACKNOWLEDGED_TIMEOUT`], and one that carries nothing after two
/// keep-alive probes, so that the request can go elsewhere. An endpoint whose process is silent
/// still acknowledges both.
pub(super) fn set_endpoint_socket_options(stream: &TcpStream) {
    set_socket_options(stream, ENDPOINT_UNACKNOWLEDGED_TIMEOUT);
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
