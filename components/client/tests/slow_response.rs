//! Responses that arrive slowly.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::{net::SocketAddr, time::Duration};

use client::{PlatformClient, ScanResponse};
use platform::{Key, PlatformError, Revision, Row, Table};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// Timeout of the client.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Pause of the server before each piece of the response.
const PAUSE: Duration = Duration::from_millis(60);

/// Number of pieces: sending them takes several times [`TIMEOUT`].
const PIECES: usize = 20;

/// Starts a server that answers each connection with `body` in [`PIECES`] pieces and stops after
/// `pieces_sent` of them without closing the connection.
async fn start_server(body: Vec<u8>, pieces_sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let body = body.clone();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await.unwrap();
                let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
                stream.write_all(head.as_bytes()).await.unwrap();
                for piece in body.chunks(body.len().div_ceil(PIECES)).take(pieces_sent) {
                    tokio::time::sleep(PAUSE).await;
                    stream.write_all(piece).await.unwrap();
                }
                std::future::pending::<()>().await;
            });
        }
    });
    address
}

fn rows() -> Vec<Row> {
    let key = Key::new("config/current").unwrap();
    vec![Row { key, revision: Revision(1), value: "x".repeat(1_000).into() }]
}

/// Guards against a router that never reads a large configuration over a slow link because the
/// timeout covers the whole response.
#[tokio::test]
async fn response_that_keeps_arriving_is_not_cut_off() {
    let body = serde_json::to_vec(&ScanResponse { result: Ok(rows()) }).unwrap();
    let server = start_server(body, PIECES).await;
    let client = PlatformClient::new(server, TIMEOUT);
    assert_eq!(client.scan("config", None).await, Ok(rows()));
}

/// Guards against a call that waits forever for the rest of a response.
#[tokio::test]
async fn response_that_stops_arriving_times_out() {
    let body = serde_json::to_vec(&ScanResponse { result: Ok(rows()) }).unwrap();
    let server = start_server(body, PIECES / 2).await;
    let client = PlatformClient::new(server, TIMEOUT);
    assert_eq!(client.scan("config", None).await, Err(PlatformError::Unavailable));
}
