//! Inbound connections from other routers.

use std::time::Duration;

use futures::StreamExt as _;
use inbound::{ConnectionBook, InboundIo, OpenConnection};
use protocol::{Envelope, FrameCodec};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use super::limits::{INBOUND_IDLE_TIMEOUT, READ_BUFFER_BYTES};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Interval of the reports on connections.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Accepts connections from other routers and forwards their messages to `inbox`, until the
/// receiver of `inbox` is dropped.
pub(super) async fn run_listener(
    listener: TcpListener,
    routers: ConnectionBook,
    inbox: mpsc::Sender<Envelope>,
) {
    while !inbox.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                let Some(opened) = routers.open() else { continue };
                let (number, inbox) = (opened.number(), inbox.clone());
                let task =
                    tokio::spawn(async move { receive_messages(stream, opened, &inbox).await });
                routers.set_task(number, task.abort_handle());
                // Lets the runtime drop the connections that were closed to make room.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                metrics::counter!(telemetry::ACCEPT_FAILURES_TOTAL).increment(1);
                log::debug!("failed to accept a connection from another router: {error}");
                routers.close_for_descriptors();
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Reports on the connections of other routers.
pub(super) async fn report_connections(routers: ConnectionBook) {
    loop {
        sleep(REPORT_INTERVAL).await;
        routers.report();
    }
}

async fn receive_messages(
    stream: TcpStream,
    opened: OpenConnection,
    inbox: &mpsc::Sender<Envelope>,
) {
    let messages = opened.requests();
    let stream = InboundIo::new(stream, opened);
    let mut frames = Framed::with_capacity(stream, FrameCodec::new(), READ_BUFFER_BYTES);
    while let Ok(Some(frame)) = timeout(INBOUND_IDLE_TIMEOUT, frames.next()).await {
        match frame {
            Ok(envelope) => {
                let message = messages.begin();
                message.accept();
                if inbox.send(envelope).await.is_err() {
                    return;
                }
            }
            Err(error) => {
                metrics::counter!(telemetry::PEER_MESSAGES_MALFORMED_TOTAL).increment(1);
                log::warn!("closed a connection from another router: {error}");
                return;
            }
        }
    }
}
