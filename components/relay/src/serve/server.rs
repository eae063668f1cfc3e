//! Accepts connections of callers and ends them gracefully.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use socket2::{Domain, Socket, Type};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{connections::set_options, handler::handle, side_calls::AuxiliaryApi};
use crate::context::RelayContext;

/// Connections that wait to be accepted at most.
const BACKLOG: i32 = 1_024;

/// Longest head that is buffered, in bytes; the desired state sets the limit for callers.
const HEAD_BUFFER_BYTES: usize = 64 * 1_024;

/// Idle time of a caller's connection before a desired state says how long it may be.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Pause after a connection could not be accepted, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Binds a listener.
///
/// # Errors
/// Where the address cannot be bound.
pub(crate) fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Accepts the next connection; goes on after failures.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                set_options(&stream);
                return stream;
            }
            Err(error) => {
                log::warn!("connection not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves callers until `stopped` becomes true; then lets running requests end.
pub(crate) async fn serve_callers(
    cx: Arc<RelayContext>,
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        let idle = cx.in_force.load().as_ref().map_or(IDLE_TIME, |it| it.state.limits.idle_timeout);
        let context = cx.clone();
        let service = service_fn(move |req| handle(context.clone(), req));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(HEAD_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection of a caller ended: {error}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Serves the calls beside callers' requests until the process ends.
pub(crate) async fn serve_auxiliary_api(calls: AuxiliaryApi, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let calls = calls.clone();
        let service = service_fn(move |req| {
            let calls = calls.clone();
            async move { calls.serve(req) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIME)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("connection of a side call ended: {error}");
            }
        });
    }
}
