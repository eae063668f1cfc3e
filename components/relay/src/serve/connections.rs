//! Pool of HTTP connections to endpoints.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{net::TcpStream, time::Instant};
use utils::{HashMap, HashSet};

use super::{
    connection::{
        ConnectError, Connection, ConnectionCount, CountedStream, TunnelPeer, handshake,
        open_stream,
    },
    socket_options::set_endpoint_socket_options,
};
use crate::room::ByteCounts;

/// Which connection a request needs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionNeed {
    /// Maximum number of connections that this router may open to the endpoint.
    pub(crate) max: usize,
    /// Whether the connection is for a single request that may not fit into the buffers of the
    /// endpoint. It is not kept afterwards, as it takes long to notice that its path is broken.
    pub(crate) is_for_large_request: bool,
}

impl ConnectionNeed {
    /// Returns the need of a request of the usual size.
    pub(crate) fn usual(max: usize) -> ConnectionNeed {
        ConnectionNeed { max, is_for_large_request: false }
    }
}

/// Maximum number of idle connections kept per endpoint.
const IDLE_MAX: usize = 32;

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
    /// Bytes over the connections of callers and to endpoints.
    pub(crate) bytes: Arc<ByteCounts>,
}

impl EndpointConnections {
    /// Opens a new connection if fewer than the maximum are open.
    ///
    /// # Errors
    /// Returns an error if the maximum is open already, or the endpoint did not accept it.
    pub(super) async fn connect(
        &self,
        endpoint: &Arc<str>,
        address: SocketAddr,
        need: ConnectionNeed,
    ) -> Result<Connection, ConnectError> {
        let opened = self.open(endpoint, address, need).await?;
        let mut connection = handshake(endpoint, opened, None, self.bytes.clone()).await?;
        connection.is_for_large_request = need.is_for_large_request;
        Ok(connection)
    }

    /// Opens a TCP connection if fewer than the maximum are open.
    ///
    /// # Errors
    /// Returns an error if the maximum is open already, or the endpoint did not accept it.
    pub(crate) async fn open(
        &self,
        endpoint: &Arc<str>,
        address: SocketAddr,
        need: ConnectionNeed,
    ) -> Result<CountedStream, ConnectError> {
        let count = count_one(&self.open_counts, endpoint, need.max)?;
        let stream = open_stream(address).await;
        let outcome = stream.as_ref().err().map_or("opened", ConnectError::label);
        metrics::counter!(telemetry::ENDPOINT_CONNECTS_TOTAL, "outcome" => outcome).increment(1);
        let stream = stream?;
        set_endpoint_socket_options(&stream, need.is_for_large_request);
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
        handshake(endpoint, CountedStream { stream, count }, Some(peer), self.bytes.clone()).await
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
        if connection.is_closed() || connection.is_for_large_request {
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
    /// `is_known` returns `false`, and tunnels through routers for which `is_peer_usable`
    /// returns `false`.
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
