//! Inbound connections from other routers.

use std::{sync::Arc, time::Duration};

use futures::StreamExt as _;
use protocol::{Envelope, FrameCodec};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time::{sleep, timeout},
};
use tokio_util::codec::Framed;

use super::limits::{INBOUND_IDLE_TIMEOUT, INBOUND_MAX_CONNECTIONS, READ_BUFFER_BYTES};

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts connections from other routers and forwards their messages to `inbox`, until the
/// receiver of `inbox` is dropped.
pub(super) async fn run_listener(listener: TcpListener, inbox: mpsc::Sender<Envelope>) {
    let permits = Arc::new(Semaphore::new(INBOUND_MAX_CONNECTIONS));
    while !inbox.is_closed() {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let inbox = inbox.clone();
                tokio::spawn(async move {
                    receive_messages(stream, &inbox).await;
                    drop(permit);
                });
            }
            Err(error) => {
                log::warn!("failed to accept a connection from another router: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn receive_messages(stream: TcpStream, inbox: &mpsc::Sender<Envelope>) {
    let mut frames = Framed::with_capacity(stream, FrameCodec::new(), READ_BUFFER_BYTES);
    while let Ok(Some(frame)) = timeout(INBOUND_IDLE_TIMEOUT, frames.next()).await {
        match frame {
            Ok(envelope) => {
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
