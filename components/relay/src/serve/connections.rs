//! Connections to endpoints, kept for later requests.

use std::{
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
use thiserror::Error;
use tokio::{net::TcpStream, task::AbortHandle, time::Instant};
use utils::{HashMap, HashSet};

/// Longest time for a connection to be made: the network takes a millisecond or two.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which bytes that nobody acknowledged end a connection; a path that is cut
/// gives no other sign.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Idle time after which a connection is closed, where the endpoint announces none.
const IDLE_TIME: Duration = Duration::from_secs(20);

/// Connections to one endpoint that are kept while idle.
const IDLE_MAX: usize = 32;

/// Why there is no connection.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The endpoint did not accept it in time.
    #[error("connection timed out")]
    TimedOut,
    /// The endpoint refused it.
    #[error("connection failed: {0}")]
    Failed(std::io::Error),
    /// This router has as many connections to the endpoint as it may.
    #[error("too many connections are open")]
    TooMany,
    /// The HTTP client refused it.
    #[error("connection unusable: {0}")]
    Unusable(hyper::Error),
}

/// A connection in use. Dropping it closes it, which cancels what runs on it.
#[derive(Debug)]
pub(super) struct Connection {
    /// Sends requests.
    pub(super) sender: SendRequest<Full<Bytes>>,
    /// Whether it served an earlier request.
    pub(super) is_reused: bool,
    /// Endpoint.
    endpoint: Arc<str>,
    /// Idle time that the endpoint announced.
    idle_limit: Duration,
    /// Task that drives the connection; ended on drop.
    driver: Driver,
    /// Counts it among the endpoint's.
    _counted: Counted,
}

/// Counts an open connection until dropped.
#[derive(Debug)]
struct Counted(Arc<AtomicUsize>);

impl Counted {
    /// Counts one more connection; `None` where there are `max` already.
    fn begin(open: &Arc<AtomicUsize>, max: usize) -> Option<Counted> {
        let count = open.fetch_add(1, Ordering::Relaxed);
        let counted = Counted(open.clone());
        (count < max).then_some(counted)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Ends the task of a connection when dropped.
#[derive(Debug)]
struct Driver(AbortHandle);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    /// Takes over the idle time that the endpoint announced with an answer.
    pub(super) fn set_idle_limit(&mut self, seconds: u64) {
        // Half of it, so that a request does not cross the endpoint's close.
        self.idle_limit = Duration::from_millis(seconds * 500).min(IDLE_TIME);
    }
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    /// The connection.
    connection: Connection,
    /// Since when it is idle.
    since: Instant,
}

/// Connections to endpoints, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointConnections {
    /// Idle connections, the most recently used last.
    idle: Mutex<HashMap<Arc<str>, Vec<Idle>>>,
    /// Numbers of open connections.
    open: Mutex<HashMap<Arc<str>, Arc<AtomicUsize>>>,
}

impl EndpointConnections {
    /// Returns a connection that is kept, or makes one where fewer than `max` are open.
    ///
    /// # Errors
    /// Where none was kept and none could be made.
    pub(super) async fn open(
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

    /// Makes a new connection where fewer than `max` are open.
    ///
    /// # Errors
    /// Where as many are open, or the endpoint did not accept it.
    pub(super) async fn connect(
        &self,
        endpoint: &Arc<str>,
        address: SocketAddr,
        max: usize,
    ) -> Result<Connection, ConnectError> {
        let open = self.lock_open().entry(endpoint.clone()).or_default().clone();
        let counted = Counted::begin(&open, max).ok_or(ConnectError::TooMany)?;
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| ConnectError::TimedOut)?
            .map_err(ConnectError::Failed)?;
        set_options(&stream);
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(ConnectError::Unusable)?;
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to an endpoint ended: {error}");
            }
        });
        Ok(Connection {
            sender,
            is_reused: false,
            endpoint: endpoint.clone(),
            idle_limit: IDLE_TIME,
            driver: Driver(task.abort_handle()),
            _counted: counted,
        })
    }

    /// Keeps a connection whose answer was read to its end.
    pub(super) fn keep(&self, mut connection: Connection) {
        if connection.sender.is_closed() || connection.driver.0.is_finished() {
            return;
        }
        connection.is_reused = true;
        let mut idle = self.idle.lock().expect("no panic while locked");
        let kept = idle.entry(connection.endpoint.clone()).or_default();
        if kept.len() < IDLE_MAX {
            kept.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes idle connections that are too old, and those to endpoints that are gone.
    pub(crate) fn prune(&self, is_known: impl Fn(&str) -> bool) {
        let mut idle = self.idle.lock().expect("no panic while locked");
        for kept in idle.values_mut() {
            kept.retain(is_usable);
        }
        idle.retain(|endpoint, kept| !kept.is_empty() && is_known(endpoint));
        drop(idle);
        self.lock_open().retain(|_, open| open.load(Ordering::Relaxed) > 0);
    }

    /// Returns the endpoints to which connections are kept.
    pub(crate) fn endpoints(&self) -> HashSet<Arc<str>> {
        self.idle.lock().expect("no panic while locked").keys().cloned().collect()
    }

    fn lock_open(&self) -> MutexGuard<'_, HashMap<Arc<str>, Arc<AtomicUsize>>> {
        self.open.lock().expect("no panic while locked")
    }

    fn take_idle(&self, endpoint: &Arc<str>) -> Option<Connection> {
        let mut idle = self.idle.lock().expect("no panic while locked");
        let kept = idle.get_mut(endpoint)?;
        while let Some(it) = kept.pop() {
            if is_usable(&it) && it.connection.sender.is_ready() {
                return Some(it.connection);
            }
        }
        None
    }
}

fn is_usable(idle: &Idle) -> bool {
    let connection = &idle.connection;
    !connection.sender.is_closed() && idle.since.elapsed() < connection.idle_limit
}

/// Sets what a connection needs: no delay of small writes, and an end where the path is cut.
pub(super) fn set_options(stream: &TcpStream) {
    let socket = socket2::SockRef::from(stream);
    let set = socket
        .set_tcp_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT)));
    if let Err(error) = set {
        log::debug!("options of a connection not set: {error}");
    }
}
