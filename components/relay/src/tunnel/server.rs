//! Opens connections to endpoints for other routers and copies the bytes.

use std::{
    io::ErrorKind,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures::{SinkExt, StreamExt};
use inbound::{ConnectionLimits, HostShare};
use prost::Message;
use tokio::net::{TcpListener, TcpStream};

use super::message::{TunnelOutcome, TunnelReply, TunnelRequest, encode, frames};
use crate::{
    context::RelayContext,
    serve::{
        ConnectError, ConnectionNeed, CountedStream, accept_stream, set_tunnel_socket_options,
    },
    settings::HostLimits,
};

/// Time within which a router has to send its request after it has connected.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for the connection to an endpoint. It is below that of the router that asks, so that it
/// learns the outcome.
const ENDPOINT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of tunnels through this router. Each takes two file descriptors.
const TUNNELS_MAX: usize = 800;

/// Share of the descriptors that are not for files, in percent, which bounds the number of tunnels.
const TUNNELS_PERCENT: u32 = 8;

/// Size of the buffer for each direction of a tunnel, in bytes.
const COPY_BUFFER_BYTES: usize = 8 * 1_024;

/// Counts the tunnels through this router.
#[derive(Debug)]
pub(crate) struct TunnelServer {
    /// Maximum number of tunnels.
    max: usize,
    /// Number of connections from other routers that are open for tunnels.
    open: AtomicUsize,
}

impl TunnelServer {
    /// Creates the counter of a process on a host with these limits.
    pub(crate) fn new(host: HostLimits) -> TunnelServer {
        let share = HostShare { descriptor_percent: TUNNELS_PERCENT, memory_percent: 0 };
        let limits = ConnectionLimits::for_host(None, host.descriptors, share);
        TunnelServer { max: limits.connections.min(TUNNELS_MAX), open: AtomicUsize::new(0) }
    }

    /// Returns whether so many connections are open that further ones are not even answered.
    fn is_overrun(&self) -> bool {
        self.open_count() >= self.max + self.max / 4
    }

    /// Returns the number of tunnels through this router.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Counts a tunnel until dropped.
struct OpenTunnel {
    cx: Arc<RelayContext>,
    /// Whether there were as many as allowed before.
    is_one_too_many: bool,
}

impl OpenTunnel {
    fn new(cx: Arc<RelayContext>) -> OpenTunnel {
        let before = cx.tunnels.open.fetch_add(1, Ordering::Relaxed);
        OpenTunnel { is_one_too_many: before >= cx.tunnels.max, cx }
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.cx.tunnels.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Serves tunnels until the process ends.
pub(crate) async fn serve_tunnels(cx: Arc<RelayContext>, listener: TcpListener) {
    loop {
        let (stream, _) = accept_stream(&listener, || {
            cx.clients.callers.close_for_descriptors();
        })
        .await;
        if cx.tunnels.is_overrun() {
            metrics::counter!(telemetry::TUNNELS_SERVED_TOTAL, "outcome" => "overrun").increment(1);
            continue;
        }
        set_tunnel_socket_options(&stream);
        let open = OpenTunnel::new(cx.clone());
        tokio::spawn(async move { serve_tunnel(open, stream).await });
    }
}

async fn serve_tunnel(open: OpenTunnel, stream: TcpStream) {
    let cx = &open.cx;
    let mut frames = frames(stream);
    let received = tokio::time::timeout(REQUEST_TIMEOUT, frames.next()).await;
    let Ok(Some(Ok(frame))) = received else { return };
    let Ok(request) = TunnelRequest::decode(frame) else {
        log::warn!("malformed request for a tunnel");
        return;
    };
    let opened = if open.is_one_too_many || cx.is_leaving.load(Ordering::Relaxed) {
        Err(TunnelOutcome::Busy)
    } else {
        connect(cx, &request).await
    };
    let outcome = opened.as_ref().err().copied().unwrap_or(TunnelOutcome::Opened);
    metrics::counter!(telemetry::TUNNELS_SERVED_TOTAL, "outcome" => label(outcome)).increment(1);
    let reply = TunnelReply { outcome: outcome.into() };
    if frames.send(encode(&reply)).await.is_err() {
        return;
    }
    let Ok(endpoint) = opened else { return };
    let parts = frames.into_parts();
    if parts.read_buf.is_empty() {
        copy(parts.io, endpoint).await;
    }
}

/// Connects to the endpoint that a request names. Only endpoints in service that this router reads
/// from the list itself are connected to, at the addresses there, and never through a third router.
async fn connect(
    cx: &RelayContext,
    request: &TunnelRequest,
) -> Result<CountedStream, TunnelOutcome> {
    let target = cx.lock_endpoints().connect_target(&request.endpoint, request.started_at_ms);
    let target = target.ok_or(TunnelOutcome::UnknownEndpoint)?;
    if cx.lock_paths().is_blocked(&target.service, &request.endpoint) {
        return Err(TunnelOutcome::CutOff);
    }
    if cx.lock_endpoints().is_unreached(&request.endpoint, cx.now()) {
        return Err(TunnelOutcome::Unreachable);
    }
    let connections_max = cx.connections_max(&target.service);
    let opened = cx.connections.open(
        &target.endpoint,
        target.address,
        ConnectionNeed::usual(connections_max),
    );
    match tokio::time::timeout(ENDPOINT_CONNECT_TIMEOUT, opened).await {
        Ok(Ok(opened)) => Ok(opened),
        Ok(Err(ConnectError::TooMany)) => Err(TunnelOutcome::Busy),
        Ok(Err(ConnectError::Failed(error))) if error.kind() == ErrorKind::ConnectionRefused => {
            Err(TunnelOutcome::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(TunnelOutcome::Unreachable),
    }
}

/// Copies the bytes of a tunnel until either side ends. The end of the other router's side closes the
/// endpoint's connection at once, which cancels a running request.
async fn copy(mut router: TcpStream, mut endpoint: CountedStream) {
    let (mut router_read, mut router_write) = router.split();
    let (mut endpoint_read, mut endpoint_write) = endpoint.stream.split();
    let mut to_endpoint = tokio::io::BufReader::with_capacity(COPY_BUFFER_BYTES, &mut router_read);
    let mut to_router = tokio::io::BufReader::with_capacity(COPY_BUFFER_BYTES, &mut endpoint_read);
    tokio::select! {
        _ = tokio::io::copy_buf(&mut to_endpoint, &mut endpoint_write) => {}
        _ = tokio::io::copy_buf(&mut to_router, &mut router_write) => {}
    }
}

fn label(outcome: TunnelOutcome) -> &'static str {
    match outcome {
        TunnelOutcome::Opened => "opened",
        TunnelOutcome::Refused => "refused",
        TunnelOutcome::Unreachable => "unreachable",
        TunnelOutcome::CutOff => "cut_off",
        TunnelOutcome::Busy => "busy",
        TunnelOutcome::UnknownEndpoint | TunnelOutcome::Unspecified => "unknown_endpoint",
    }
}
