//! The HTTP server: accepts connections and shuts them down gracefully.

use std::{sync::Arc, time::Duration};

use hyper::server::conn::http1;
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{net::TcpListener, sync::watch};
use viz::{Responder, Router, Tree};

use super::request_head::HEAD_MAX_BYTES;

/// The HTTP server.
pub(crate) struct HttpServer {
    /// Set to true to stop accepting connections and to close idle ones.
    stop: watch::Sender<bool>,
    /// Task that accepts connections; ends once all connections are closed.
    task: tokio::task::JoinHandle<()>,
}

impl HttpServer {
    /// Starts serving `router` on `listener`.
    pub(crate) fn start(
        listener: TcpListener,
        router: Router,
        head_timeout: Duration,
    ) -> HttpServer {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_connections(listener, router, head_timeout, stopped));
        HttpServer { stop, task }
    }

    /// Stops accepting connections and waits until all of them have finished their request.
    pub(crate) async fn shut_down(self) {
        self.stop.send_replace(true);
        let _ = self.task.await;
    }
}

async fn accept_connections(
    listener: TcpListener,
    router: Router,
    head_timeout: Duration,
    mut stopped: watch::Receiver<bool>,
) {
    let tree = Arc::new(Tree::from(router));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("failed to accept a caller's connection: {error}");
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        let service = Responder::new(tree.clone(), Some(peer));
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(head_timeout)
            .max_buf_size(2 * HEAD_MAX_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("caller's connection failed: {error}");
            }
        });
    }
    drop(listener);
    graceful.shutdown().await;
}
