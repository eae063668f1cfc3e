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
    limits::{CONNECT_TIMEOUT, OUTBOUND_IDLE_TIMEOUT, RECONNECT_MAX, RECONNECT_MIN, WRITE_TIMEOUT},
    send_queue::{SendQueue, count_dropped},
};

/// Why a connection ended.
enum ConnectionEnd {
    /// Nothing was to be sent.
    Idle,
    /// The connection failed, or the peer closed it.
    Failed,
}

/// Sends the messages of `queue` to the peer at `address`, until there are none for
/// [`OUTBOUND_IDLE_TIMEOUT`].
pub(super) async fn run_link(address: SocketAddr, queue: Arc<SendQueue>) {
    let mut rng = utils::new_rng();
    let mut delay = RECONNECT_MIN;
    while timeout(OUTBOUND_IDLE_TIMEOUT, queue.wait()).await.is_ok() {
        match connect(address).await {
            Some(stream) => {
                delay = RECONNECT_MIN;
                if let ConnectionEnd::Idle = send_messages(stream, &queue).await {
                    return;
                }
            }
            None => queue.drop_heartbeats(),
        }
        sleep(utils::jitter(delay, &mut rng)).await;
        delay = (delay * 2).min(RECONNECT_MAX);
    }
}

async fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()?;
    // Without it small messages wait for the acknowledgement of earlier ones.
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

async fn send_messages(stream: TcpStream, queue: &SendQueue) -> ConnectionEnd {
    let (mut reader, writer) = stream.into_split();
    let mut writer = FramedWrite::new(writer, FrameCodec::new());
    let mut buf = [0; 1];
    loop {
        let next = tokio::select! {
            // Peers send nothing back, so that this ends with the connection only.
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
