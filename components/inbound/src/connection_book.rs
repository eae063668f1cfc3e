//! Counts the connections of clients and decides which one is closed when there are too many.
//!
//! A connection on which no request was accepted is closed first, if it has had time for one; then the one that
//! has been idle, or has been sending a request, for longest. One whose request is being served stays open.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use tokio::{task::AbortHandle, time::Instant};

use super::{
    ConnectionLimits,
    connection::{Connection, Phase},
    connection_limits::CONNECTION_BYTES,
};

/// Time within which a proper client has sent a request of the usual size.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Memory that a byte in a buffer takes: buffers grow by doubling.
const BUFFER_FACTOR: usize = 2;

/// Bytes of a body that may be in the buffer of its connection.
const BODY_BUFFER_BYTES: usize = 32 * 1_024;

/// Why a connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CloseReason {
    /// There are as many connections as allowed.
    Connections,
    /// Connections take as much memory as allowed.
    Memory,
    /// The process has no descriptors left.
    Descriptors,
    /// The head of a request did not arrive in time.
    HeadTimeout,
}

impl CloseReason {
    fn label(self) -> &'static str {
        match self {
            CloseReason::Connections => "connections",
            CloseReason::Memory => "memory",
            CloseReason::Descriptors => "descriptors",
            CloseReason::HeadTimeout => "head_timeout",
        }
    }
}

/// Connections of the clients of one listener. Clones share their state.
#[derive(Debug, Clone)]
pub struct ConnectionBook {
    /// Name of the listener, for metrics.
    listener: &'static str,
    limits: ConnectionLimits,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// Open connections, in the order in which they were opened.
    open: BTreeMap<u64, Open>,
    next_number: u64,
    /// Bytes in the buffers of all connections: unfinished request heads, and the latest bytes of bodies.
    buffered: usize,
    /// Number of connections closed since the last report.
    unreported_closed: u64,
}

#[derive(Debug)]
struct Open {
    connection: Arc<Connection>,
    /// Task that serves it; `None` before it has started.
    task: Option<AbortHandle>,
}

impl ConnectionBook {
    /// Creates a book without connections.
    pub fn new(listener: &'static str, limits: ConnectionLimits) -> ConnectionBook {
        ConnectionBook { listener, limits, state: Arc::default() }
    }

    /// Updates the gauges of the connections, and logs how many were closed since the last call.
    pub fn report(&self) {
        let (open, bytes) = self.usage();
        let closed = std::mem::take(&mut self.lock().unreported_closed);
        if closed > 0 {
            log::warn!(listener = self.listener, closed, open, bytes; "connections of clients closed by limits");
        }
        metrics::gauge!(telemetry::CONNECTIONS_OPEN, "listener" => self.listener).set(open as f64);
        metrics::gauge!(telemetry::CONNECTION_BYTES, "listener" => self.listener).set(bytes as f64);
    }

    /// Adds a connection that was accepted; closes others if there are too many. Returns `None` if the new
    /// one has to be closed, as all others are being served.
    pub fn open(&self) -> Option<OpenConnection> {
        let mut state = self.lock();
        while state.open.len() >= self.limits.connections {
            if !self.close_one(&mut state, CloseReason::Connections) {
                self.count(&mut state, CloseReason::Connections);
                return None;
            }
        }
        let number = state.next_number;
        state.next_number += 1;
        let connection = Arc::new(Connection::new());
        state.open.insert(number, Open { connection: connection.clone(), task: None });
        self.close_until_memory_suffices(&mut state);
        drop(state);
        Some(OpenConnection { book: self.clone(), number, connection })
    }

    /// Sets the task that serves a connection, which is aborted to close it.
    pub fn set_task(&self, number: u64, task: AbortHandle) {
        match self.lock().open.get_mut(&number) {
            Some(open) => open.task = Some(task),
            // It was closed before its task started.
            None => task.abort(),
        }
    }

    /// Closes a connection because no descriptors are left. Returns `false` if all are being served.
    pub fn close_for_descriptors(&self) -> bool {
        self.close_one(&mut self.lock(), CloseReason::Descriptors)
    }

    /// Closes the connections on which a request head has been arriving for longer than `timeout`.
    pub fn close_overdue(&self, timeout: Duration) {
        let mut state = self.lock();
        let overdue: Vec<u64> = state
            .open
            .iter()
            .filter(|(_, it)| it.connection.phase() == Phase::Head)
            .filter(|(_, it)| it.connection.phase_since().elapsed() > timeout)
            .map(|(number, _)| *number)
            .collect();
        for number in overdue {
            self.close(&mut state, number, CloseReason::HeadTimeout);
        }
    }

    /// Returns the number of open connections, and the memory that they are taken to use, in bytes.
    pub fn usage(&self) -> (usize, usize) {
        let state = self.lock();
        (state.open.len(), state.bytes())
    }

    /// Adds bytes that a connection has received and that may be in its buffer.
    fn add_buffered(&self, connection: &Connection, bytes: usize) {
        let mut state = self.lock();
        connection.add_buffered(bytes);
        state.buffered += bytes;
        self.close_until_memory_suffices(&mut state);
    }

    /// Removes the bytes of a connection that are no longer in its buffer.
    fn clear_buffered(&self, connection: &Connection) {
        self.lock().buffered -= connection.take_buffered();
    }

    fn close_until_memory_suffices(&self, state: &mut State) {
        while state.bytes() > self.limits.bytes && self.close_one(state, CloseReason::Memory) {}
    }

    /// Closes the connection that is the first to go; returns `false` if all are being served.
    fn close_one(&self, state: &mut State, reason: CloseReason) -> bool {
        let now = Instant::now();
        let candidates =
            state.open.iter().filter(|(_, it)| it.connection.phase() != Phase::Serving);
        let first = candidates
            .map(|(number, it)| {
                let since = it.connection.phase_since();
                let had_time = now.duration_since(since) >= FIRST_REQUEST_TIME;
                let may_wait = it.connection.is_known() || !had_time;
                (it.connection.is_write_blocked(), may_wait, since, *number)
            })
            .min();
        let Some((_, _, _, number)) = first else { return false };
        self.close(state, number, reason);
        true
    }

    fn close(&self, state: &mut State, number: u64, reason: CloseReason) {
        if let Some(task) = state.remove(number) {
            task.abort();
        }
        self.count(state, reason);
    }

    fn count(&self, state: &mut State, reason: CloseReason) {
        state.unreported_closed += 1;
        let (listener, reason) = (self.listener, reason.label());
        metrics::counter!(telemetry::CONNECTIONS_CLOSED_TOTAL, "listener" => listener, "reason" => reason)
            .increment(1);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("the lock is not poisoned")
    }
}

impl State {
    /// Returns the memory that all connections are taken to use, in bytes.
    fn bytes(&self) -> usize {
        self.open.len() * CONNECTION_BYTES + self.buffered * BUFFER_FACTOR
    }

    /// Removes a connection; returns the task that serves it.
    fn remove(&mut self, number: u64) -> Option<AbortHandle> {
        let open = self.open.remove(&number)?;
        self.buffered -= open.connection.take_buffered();
        open.task
    }
}

/// A connection that counts in its book until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    book: ConnectionBook,
    number: u64,
    connection: Arc<Connection>,
}

impl OpenConnection {
    /// Returns the number of the connection in its book.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns a handle by which the requests on the connection say how far they are.
    pub fn requests(&self) -> Requests {
        Requests { book: self.book.clone(), connection: self.connection.clone() }
    }

    /// Records bytes that were received.
    pub(crate) fn received(&self, bytes: usize) {
        match self.connection.phase() {
            // The body itself counts elsewhere.
            Phase::Body if self.connection.buffered() >= BODY_BUFFER_BYTES => return,
            Phase::Idle => self.connection.set_phase(Phase::Head),
            Phase::Head | Phase::Body | Phase::Serving => {}
        }
        self.book.add_buffered(&self.connection, bytes);
    }

    /// Records whether the client has to read before more can be sent.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        self.connection.set_write_blocked(is_blocked);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.book.lock().remove(self.number);
        // What arrived after it was closed.
        self.book.clear_buffered(&self.connection);
    }
}

/// Requests of one connection.
#[derive(Debug, Clone)]
pub struct Requests {
    book: ConnectionBook,
    connection: Arc<Connection>,
}

impl Requests {
    /// Records that the head of a request has arrived, and that its body follows.
    pub fn begin(&self) -> RequestInProgress {
        self.connection.set_phase(Phase::Body);
        self.book.clear_buffered(&self.connection);
        RequestInProgress { requests: self.clone() }
    }
}

/// A request on a connection, until its answer has been passed on.
#[derive(Debug)]
pub struct RequestInProgress {
    requests: Requests,
}

impl RequestInProgress {
    /// Records that the request is accepted if its body arrives.
    pub fn accept(&self) {
        self.requests.connection.set_known();
    }

    /// Records that the whole request has arrived.
    pub fn serve(&self) {
        self.requests.connection.set_phase(Phase::Serving);
        self.requests.book.clear_buffered(&self.requests.connection);
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.requests.connection.set_phase(Phase::Idle);
    }
}
