//! Which connections are closed when there are too many.

#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use inbound::{ConnectionBook, ConnectionLimits, InboundIo, OpenConnection};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex},
    task::JoinHandle,
};

/// Time after which a connection without an accepted request is the first to be closed.
const LATER: Duration = Duration::from_secs(2);

fn book(connections: usize, bytes: usize) -> ConnectionBook {
    ConnectionBook::new("test", ConnectionLimits { connections, bytes })
}

/// Starts the task of a connection, which ends only when it is closed.
fn run(book: &ConnectionBook, opened: OpenConnection) -> JoinHandle<()> {
    let number = opened.number();
    let task = tokio::spawn(async move {
        std::future::pending::<()>().await;
        drop(opened);
    });
    book.set_task(number, task.abort_handle());
    task
}

/// Starts the task of a connection that reads everything; returns where to write.
fn run_reader(book: &ConnectionBook, opened: OpenConnection) -> (DuplexStream, JoinHandle<()>) {
    let (client, server) = duplex(1 << 20);
    let number = opened.number();
    let task = tokio::spawn(async move {
        let mut io = InboundIo::new(server, opened);
        let mut buf = vec![0; 1 << 16];
        while io.read(&mut buf).await.is_ok_and(|it| it > 0) {}
        std::future::pending::<()>().await;
    });
    book.set_task(number, task.abort_handle());
    (client, task)
}

async fn is_closed(task: &JoinHandle<()>) -> bool {
    tokio::time::sleep(Duration::from_millis(1)).await;
    task.is_finished()
}

/// Guards against new callers that are shut out by connections on which nothing is sent.
#[tokio::test(start_paused = true)]
async fn connection_without_a_request_is_closed_before_one_in_use() {
    let book = book(2, usize::MAX);
    let used = book.open().unwrap();
    let request = used.requests().begin();
    request.accept();
    drop(request);
    let used = run(&book, used);
    let silent = book.open().unwrap();
    let silent = run(&book, silent);
    tokio::time::sleep(LATER).await;
    let _new = book.open().unwrap();
    assert!(is_closed(&silent).await && !used.is_finished());
}

/// Guards against answers that are cut off for new connections.
#[tokio::test(start_paused = true)]
async fn connection_whose_request_is_served_stays_open() {
    let book = book(1, usize::MAX);
    let serving = book.open().unwrap();
    let request = serving.requests().begin();
    request.serve();
    let serving = run(&book, serving);
    tokio::time::sleep(LATER).await;
    assert!(book.open().is_none());
    assert!(!book.close_for_descriptors());
    drop(request);
    assert!(book.open().is_some());
    assert!(is_closed(&serving).await);
}

/// Guards against a crowd that keeps its place by sending a request head byte by byte.
#[tokio::test(start_paused = true)]
async fn bytes_of_an_unfinished_head_do_not_keep_a_connection_open() {
    let book = book(2, usize::MAX);
    let trickling = book.open().unwrap();
    let (mut client, trickling) = run_reader(&book, trickling);
    client.write_all(b"G").await.unwrap();
    tokio::time::sleep(LATER).await;
    let next = book.open().unwrap();
    let next = run(&book, next);
    tokio::time::sleep(LATER / 4).await;
    client.write_all(b"E").await.unwrap();
    tokio::time::sleep(LATER / 4).await;
    let _new = book.open().unwrap();
    assert!(is_closed(&trickling).await && !next.is_finished());
}

/// Guards against unfinished request heads that together take all memory.
#[tokio::test(start_paused = true)]
async fn connections_are_closed_when_heads_take_too_much_memory() {
    let book = book(usize::MAX, 300 * 1_024);
    let mut clients = Vec::new();
    for _ in 0..4 {
        let (mut client, task) = run_reader(&book, book.open().unwrap());
        client.write_all(&[b'x'; 30 * 1_024]).await.unwrap();
        tokio::time::sleep(Duration::from_millis(10)).await;
        clients.push((client, task));
    }
    assert!(is_closed(&clients[0].1).await);
    assert!(!clients[3].1.is_finished());
    assert!(book.usage().1 <= 300 * 1_024);
}

/// Guards against memory that stays counted after its connections have ended.
#[tokio::test(start_paused = true)]
async fn closed_connections_count_for_nothing() {
    let book = book(usize::MAX, usize::MAX);
    let (mut client, task) = run_reader(&book, book.open().unwrap());
    client.write_all(&[b'x'; 1_024]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(10)).await;
    book.close_overdue(Duration::from_secs(3));
    assert_eq!(book.usage().0, 1);
    tokio::time::sleep(2 * LATER).await;
    book.close_overdue(Duration::from_secs(3));
    assert!(is_closed(&task).await);
    assert_eq!(book.usage(), (0, 0));
}
