//! Clients that do not behave, and ordinary requests.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    sync::mpsc,
    task::JoinSet,
};

/// Time that a client takes to send its payload, at most.
const SEND_PATIENCE: Duration = Duration::from_secs(8);

/// Number of times that a client connects again after its connection was closed, at most.
const RECONNECTIONS_MAX: usize = 60;

/// Pause before a client connects again.
const RECONNECTION_PAUSE: Duration = Duration::from_secs(1);

/// Size of a client's own buffer where the router's buffers are measured.
const SEND_BUFFER_BYTES: u32 = 16 * 1_024;

/// Size of the buffer of a client that does not read.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1_024;

/// Time after which a router that has taken nothing takes no more.
const STALL: Duration = Duration::from_millis(500);

/// Number of tries of an ordinary request, each on a new connection.
const TRIES: usize = 10;

/// Time that a try may take; a hung router fails the test.
const TRY_PATIENCE: Duration = Duration::from_secs(5);

/// Pause between tries.
const TRY_PAUSE: Duration = Duration::from_millis(300);

/// Clients that keep their connections open, and connect again when the router closes them, until this is
/// dropped.
pub(crate) struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts `count` clients that each send `payload`. Returns once each has sent everything or was stopped
    /// by the router.
    pub(crate) async fn send(address: SocketAddr, count: usize, payload: Bytes) -> Crowd {
        Crowd::send_parts(address, count, vec![payload]).await
    }

    /// Like [`send`](Self::send) for a payload in several parts.
    pub(crate) async fn send_parts(address: SocketAddr, count: usize, parts: Vec<Bytes>) -> Crowd {
        let parts: Arc<[Bytes]> = parts.into();
        let mut clients = JoinSet::new();
        let (sent_tx, mut sent_rx) = mpsc::unbounded_channel();
        for _ in 0..count {
            let (parts, sent_tx) = (parts.clone(), sent_tx.clone());
            clients.spawn(async move {
                for _ in 0..=RECONNECTIONS_MAX {
                    let sent = tokio::time::timeout(SEND_PATIENCE, send(address, &parts)).await;
                    let _ = sent_tx.send(());
                    if let Ok(Ok(mut stream)) = sent {
                        let _ = tokio::io::copy(&mut stream, &mut tokio::io::sink()).await;
                    }
                    tokio::time::sleep(RECONNECTION_PAUSE).await;
                }
            });
        }
        for _ in 0..count {
            sent_rx.recv().await;
        }
        Crowd { _clients: clients }
    }
}

/// Sends a payload on a new connection, until all is sent or the router closes the connection.
async fn send(address: SocketAddr, parts: &[Bytes]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    for part in parts {
        stream.write_all(part).await?;
    }
    Ok(stream)
}

/// Opens `count` connections, sends `first` on each of them, and then bytes until the router takes no more.
/// Returns how many bytes after the first request it took on all of them.
pub(crate) async fn bytes_taken_after(address: SocketAddr, count: usize, first: Bytes) -> usize {
    let mut clients = JoinSet::new();
    for _ in 0..count {
        let first = first.clone();
        clients.spawn(async move {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_send_buffer_size(SEND_BUFFER_BYTES).unwrap();
            let mut stream = socket.connect(address).await.unwrap();
            stream.write_all(&first).await.unwrap();
            let mut taken = 0;
            loop {
                let written = stream.write(&[b'x'; 8 * 1_024]);
                match tokio::time::timeout(STALL, written).await {
                    Ok(Ok(written)) => taken += written,
                    Ok(Err(_)) | Err(_) => return taken,
                }
            }
        });
    }
    clients.join_all().await.into_iter().sum()
}

/// Connections of clients that do not read their answers, open until this is dropped.
pub(crate) struct Readers {
    _connections: Vec<TcpStream>,
}

impl Readers {
    /// Opens `count` connections with small buffers, sends `request` on each of them and reads nothing.
    pub(crate) async fn send(address: SocketAddr, count: usize, request: &[u8]) -> Readers {
        let mut connections = Vec::new();
        for _ in 0..count {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
            let Ok(mut stream) = socket.connect(address).await else { continue };
            if stream.write_all(request).await.is_ok() {
                connections.push(stream);
            }
        }
        Readers { _connections: connections }
    }
}

/// Formats the head of a request for a stream or an action, which ends with `framing`.
pub(crate) fn head(path: &str, key: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: a.example\r\nx-auburncrank-attempt-id: r1\r\n\
         x-auburncrank-deadline-ms: 2500\r\nauthorization: Bearer {key}\r\n{framing}\r\n\r\n"
    )
}

/// Returns a request whose body of `announced` bytes stops after `sent` bytes.
pub(crate) fn request_with_length(key: &str, announced: usize, sent: usize) -> Bytes {
    let mut bytes = head("/get/x", key, &format!("content-length: {announced}")).into_bytes();
    bytes.resize(bytes.len() + sent, b'x');
    bytes.into()
}

/// Returns a request with a body of `size` bytes in chunks of `chunk` bytes, without the last chunk.
pub(crate) fn request_in_chunks(key: &str, size: usize, chunk: usize) -> Bytes {
    let mut bytes = head("/get/x", key, "transfer-encoding: chunked").into_bytes();
    let mut left = size;
    while left > 0 {
        let length = left.min(chunk);
        bytes.extend_from_slice(format!("{length:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + length, b'x');
        bytes.extend_from_slice(b"\r\n");
        left -= length;
    }
    bytes.into()
}

/// Returns a request head of about `size` bytes without its end.
pub(crate) fn unfinished_head(size: usize) -> Bytes {
    let mut text = String::from("GET /v1/resolve HTTP/1.1\r\nhost: a.example\r\n");
    let line = format!("x-line: {}\r\n", "x".repeat(1_000));
    while text.len() < size {
        text.push_str(&line);
    }
    text.into()
}

/// Sends an ordinary request like a proper client, which tries again after a refusal or a closed connection.
/// Returns whether a try was answered with status 200.
pub(crate) async fn is_served(address: SocketAddr, request: &[u8]) -> bool {
    for _ in 0..TRIES {
        match tokio::time::timeout(TRY_PATIENCE, status(address, request)).await {
            Ok(Some(200)) => return true,
            other => println!("a try of an ordinary request ended with {other:?}"),
        }
        tokio::time::sleep(TRY_PAUSE).await;
    }
    false
}

/// Sends a request on a new connection; returns the status of the answer, or `None` if there is none.
async fn status(address: SocketAddr, request: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let (mut read, mut write) = stream.split();
    let mut answer = Vec::new();
    // An answer may come before the whole request is sent.
    let (_, read) = tokio::join!(write.write_all(request), read.read_to_end(&mut answer));
    read.ok()?;
    let text = String::from_utf8_lossy(&answer);
    text.split(' ').nth(1)?.parse().ok()
}

/// Sends a GET request; returns the answer.
pub(crate) async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}
