//! Accepts connections and serves HTTP on them, with graceful shutdown for callers.

use std::{error::Error as _, io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use inbound::{AnswerBody, ConnectionBook, InboundIo};
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    handler::handle,
    idle_timer::{IDLE_TIMEOUT, IdleTimer},
    side_calls::AuxiliaryApi,
    socket_options::set_caller_socket_options,
};
use crate::{context::RelayContext, room::CountedIo};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Minimum size limit of the read buffer, in bytes.
const HEAD_BUFFER_MIN_BYTES: usize = 32 * 1_024;

/// Size limit of the read buffer of a connection to the auxiliary API, in bytes.
const AUXILIARY_BUFFER_BYTES: usize = 16 * 1_024;

/// Pause after a failure to accept a connection, for instance when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds a listener to an address, even if earlier connections on it are still closing.
///
/// # Errors
/// Returns an error if the address cannot be bound.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection of a client; closes others from `open` if no descriptors are left.
async fn accept(listener: &TcpListener, open: &ConnectionBook) -> (TcpStream, SocketAddr) {
    let (stream, address) = accept_stream(listener, || {
        open.close_for_descriptors();
    })
    .await;
    set_caller_socket_options(&stream);
    (stream, address)
}

/// Accepts the next connection. After a failure it calls `make_room` and tries again.
pub(crate) async fn accept_stream(
    listener: &TcpListener,
    make_room: impl Fn(),
) -> (TcpStream, SocketAddr) {
    let mut failures = 0_u32;
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                metrics::counter!(telemetry::ACCEPT_FAILURES_TOTAL).increment(1);
                if failures == 0 {
                    log::warn!("failed to accept a connection: {error}");
                }
                failures += 1;
                make_room();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers until `stopped` becomes true, then waits for running requests to end.
pub(crate) async fn serve_callers(
    cx: Arc<RelayContext>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let (stream, address) = tokio::select! {
            accepted = accept(&listener, &cx.clients.callers) => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        let Some(opened) = cx.clients.callers.open() else { continue };
        let (number, requests) = (opened.number(), opened.requests());
        let context = cx.clone();
        // Boxed, so that idle connections do not hold the memory that a request needs.
        let service =
            service_fn(move |req| Box::pin(handle(context.clone(), requests.clone(), req)));
        let connection = http1::Builder::new()
            .timer(IdleTimer::new(cx.clone()))
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(head_buffer_bytes(&cx))
            .serve_connection(
                TokioIo::new(InboundIo::new(
                    CountedIo::new(stream, cx.connections.bytes.clone()),
                    opened,
                )),
                service,
            );
        let connection = graceful.watch(connection);
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                record_end(&error, address);
            }
        });
        cx.clients.callers.set_task(number, task.abort_handle());
        // Lets the runtime drop the connections that were closed to make room.
        tokio::task::yield_now().await;
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Returns the size limit of the read buffer of a new connection, in bytes. The limit on request heads may rise
/// while the connection is open.
fn head_buffer_bytes(cx: &RelayContext) -> usize {
    let in_force = cx.in_force.load();
    let head_max = in_force.as_ref().map_or(0, |it| it.state.limits.head_max_bytes);
    (2 * head_max).max(HEAD_BUFFER_MIN_BYTES)
}

/// Records that a caller's connection ended with an error.
fn record_end(error: &hyper::Error, address: SocketAddr) {
    let source = error.source().and_then(|it| it.downcast_ref::<io::Error>());
    let reason = match source.map(io::Error::kind) {
        _ if error.is_timeout() => "idle",
        Some(io::ErrorKind::TimedOut) => "unacknowledged",
        _ => "error",
    };
    metrics::counter!(telemetry::CALLER_CONNECTIONS_ENDED_TOTAL, "reason" => reason).increment(1);
    log::debug!(reason, address:%; "connection of a caller ended with an error: {error}");
}

/// Serves the auxiliary API to the clients of one listener until the process ends.
pub(crate) async fn serve_auxiliary_api(
    api: AuxiliaryApi,
    listener: TcpListener,
    clients: ConnectionBook,
) {
    loop {
        let (stream, _) = accept(&listener, &clients).await;
        let Some(opened) = clients.open() else { continue };
        let (number, requests) = (opened.number(), opened.requests());
        let api = api.clone();
        let service = service_fn(move |req| {
            let request = requests.begin();
            request.accept();
            request.serve();
            let answer = api.serve(req).map(|res| res.map(|it| AnswerBody::new(it, request)));
            async move { answer }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .max_buf_size(AUXILIARY_BUFFER_BYTES)
            .serve_connection(TokioIo::new(InboundIo::new(stream, opened)), service);
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to the auxiliary API ended with an error: {error}");
            }
        });
        clients.set_task(number, task.abort_handle());
        // Lets the runtime drop the connections that were closed to make room.
        tokio::task::yield_now().await;
    }
}
