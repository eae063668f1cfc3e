//! The HTTP server: accepts connections and shuts them down gracefully.

use std::{convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use futures::future::BoxFuture;
use http::{Request, Response};
use hyper::{
    body::{Body as _, Incoming},
    server::conn::http1,
    service::Service,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use inbound::{AnswerBody, ConnectionBook, HostShare, InboundIo, RequestInProgress, Requests};
use tokio::{net::TcpListener, sync::watch};
use viz::{Responder, Router, Tree};

use super::{BodyReader, request_head::HEAD_MAX_BYTES};
use crate::HttpLimits;

/// What connections of callers may use of the limits of the process.
const CALLER_SHARE: HostShare = HostShare { descriptor_percent: 50, memory_percent: 60 };

/// Interval of the reports on connections and bodies.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

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
        limits: &HttpLimits,
        bodies: BodyReader,
    ) -> HttpServer {
        let (stop, stopped) = watch::channel(false);
        let callers = ConnectionBook::new("callers", limits.connections(CALLER_SHARE));
        let head_timeout = limits.head_timeout;
        tokio::spawn(report(callers.clone(), bodies));
        let task =
            tokio::spawn(accept_connections(listener, router, callers, head_timeout, stopped));
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
    callers: ConnectionBook,
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
                metrics::counter!(telemetry::ACCEPT_FAILURES_TOTAL).increment(1);
                log::debug!("failed to accept a caller's connection: {error}");
                callers.close_for_descriptors();
                tokio::time::sleep(Duration::from_millis(10)).await;
                continue;
            }
        };
        let Some(opened) = callers.open() else { continue };
        let _ = stream.set_nodelay(true);
        let number = opened.number();
        let service = CountedService {
            inner: Responder::new(tree.clone(), Some(peer)),
            requests: opened.requests(),
        };
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(head_timeout)
            .max_buf_size(2 * HEAD_MAX_BYTES)
            .serve_connection(TokioIo::new(InboundIo::new(stream, opened)), service);
        let connection = graceful.watch(connection);
        let task = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("caller's connection failed: {error}");
            }
        });
        callers.set_task(number, task.abort_handle());
        // Lets the runtime drop the connections that were closed to make room.
        tokio::task::yield_now().await;
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Reports on the connections and bodies of callers.
async fn report(callers: ConnectionBook, bodies: BodyReader) {
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        callers.report();
        bodies.report();
    }
}

/// Handles the requests of one connection and records how far they are.
struct CountedService {
    inner: Responder<SocketAddr>,
    requests: Requests,
}

impl Service<Request<Incoming>> for CountedService {
    type Response = Response<AnswerBody<viz::Body, Arc<RequestInProgress>>>;
    type Error = Infallible;
    type Future = BoxFuture<'static, Result<Self::Response, Infallible>>;

    fn call(&self, mut req: Request<Incoming>) -> Self::Future {
        let request = Arc::new(self.requests.begin());
        if req.body().is_end_stream() {
            request.serve();
        }
        // The reader of the body records when it has arrived.
        req.extensions_mut().insert(request.clone());
        let answer = self.inner.call(req);
        Box::pin(async move { Ok(answer.await?.map(|it| AnswerBody::new(it, request))) })
    }
}
