//! Outbound connection to one peer.

use std::{net::SocketAddr, sync::Arc};

use futures::SinkExt as _;
use protocol::FrameCodec;
use tokio::{
    io::AsyncReadExt as _,
    net::TcpStream,
    time::{sleep, timeout},
};
use tokio_util::codec::FramedWrite;

use super::{
    limits::{
        CONNECT_TIMEOUT, OUTBOUND_IDLE_TIMEOUT, RECONNECT_DELAY_MAX, RECONNECT_DELAY_MIN,
        WRITE_TIMEOUT,
    },
    send_queue::{SendQueue, count_dropped},
};

/// Why a connection was closed.
enum ConnectionEnd {
    /// There was no message to send for [`OUTBOUND_IDLE_TIMEOUT`].
    Idle,
    /// The connection failed or the peer closed it.
    Failed,
}

/// Sends the messages of `queue` to the peer at `address`, until the queue stays empty for
/// [`OUTBOUND_IDLE_TIMEOUT`]. Reconnects with exponential backoff.
pub(super) async fn run_link(address: SocketAddr, queue: Arc<SendQueue>) {
    let mut rng = utils::new_rng();
    let mut delay = RECONNECT_DELAY_MIN;
    while timeout(OUTBOUND_IDLE_TIMEOUT, queue.wait()).await.is_ok() {
        match connect(address).await {
            Some(stream) => {
                delay = RECONNECT_DELAY_MIN;
                if let ConnectionEnd::Idle = send_messages(stream, &queue).await {
                    return;
                }
            }
            None => queue.drop_heartbeats(),
        }
        sleep(utils::jitter(delay, &mut rng)).await;
        delay = (delay * 2).min(RECONNECT_DELAY_MAX);
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    // Nagle's algorithm would delay small messages until earlier ones are acknowledged.
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

async fn send_messages(stream: TcpStream, queue: &SendQueue) -> ConnectionEnd {
    let (mut reader, writer) = stream.into_split();
    let mut writer = FramedWrite::new(writer, FrameCodec::new());
    let mut buf = [0; 1];
    loop {
        let next = tokio::select! {
            // Peers send nothing back, so the read completes only when the connection closes.
            _ = reader.read(&mut buf) => return ConnectionEnd::Failed,
            next = timeout(OUTBOUND_IDLE_TIMEOUT, queue.pop()) => next,
        };
        let Ok(envelope) = next else { return ConnectionEnd::Idle };
        let sent = timeout(WRITE_TIMEOUT, writer.send(envelope)).await;
        if !matches!(sent, Ok(Ok(()))) {
            count_dropped("connection_failed", 1);
            return ConnectionEnd::Failed;
        }
    }
}
