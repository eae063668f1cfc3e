//! Loopback TCP proxy that injects faults into the connections through it.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
};

use crate::support::{ReservedPort, wait_until};

/// Interval at which a silent link checks whether the silence has ended.
const SILENCE_POLL: Duration = Duration::from_millis(5);

/// How a proxy treats the bytes it receives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Forwards them.
    None,
    /// Forwards them after this many milliseconds.
    Delay(u64),
    /// Resets the connection.
    Reset,
    /// Drops all bytes. A connection that carries data during the fault stays silent in that
    /// direction, even after the fault has ended.
    Silent,
    /// Holds the bytes of answers back until the fault ends, as an endpoint that falls silent does.
    AnswersHeld,
    /// Drops the bytes of answers. A connection that loses an answer loses all later ones too.
    AnswersLost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// Proxy in front of one address.
#[derive(Clone)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    fault: Arc<Mutex<LinkFault>>,
}

impl Proxy {
    pub(crate) async fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let proxy = Proxy { address, fault: Arc::new(Mutex::new(LinkFault::None)) };
        let shared = proxy.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(shared.clone().forward(stream, target));
            }
        });
        proxy
    }

    /// Starts a proxy that refuses connections while `is_up` is false.
    pub(crate) async fn start_following(
        target: SocketAddr,
        mut is_up: watch::Receiver<bool>,
    ) -> Proxy {
        let port = ReservedPort::new();
        let (address, mut listener) = (port.address, port.listen().await);
        let proxy = Proxy { address, fault: Arc::new(Mutex::new(LinkFault::None)) };
        let shared = proxy.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    accepted = listener.accept() => {
                        let Ok((stream, _)) = accepted else { return };
                        tokio::spawn(shared.clone().forward(stream, target));
                    }
                    () = wait_until(&mut is_up, false) => {
                        drop(listener);
                        wait_until(&mut is_up, true).await;
                        listener = port.listen().await;
                    }
                }
            }
        });
        proxy
    }

    pub(crate) fn has_fault(&self) -> bool {
        self.fault() != LinkFault::None
    }

    pub(crate) fn set_fault(&self, fault: LinkFault) {
        *self.fault.lock().unwrap() = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap()
    }

    async fn forward(self, client: TcpStream, target: SocketAddr) {
        let Ok(target_stream) = TcpStream::connect(target).await else { return };
        // With a zero linger time, dropping the stream resets its connection.
        let _ = client.set_zero_linger();
        let ((client_read, client_write), (target_read, target_write)) =
            (client.into_split(), target_stream.into_split());
        let request = self.copy(client_read, target_write, Direction::Request);
        let answer = self.copy(target_read, client_write, Direction::Answer);
        tokio::select! {
            () = request => {}
            () = answer => {}
        }
    }

    async fn copy(&self, mut from: OwnedReadHalf, mut to: OwnedWriteHalf, direction: Direction) {
        let mut buf = vec![0; 16_384];
        let mut is_silent = false;
        loop {
            let count = match from.read(&mut buf).await {
                Ok(0) | Err(_) if is_silent => std::future::pending().await,
                Ok(0) | Err(_) => {
                    // Gives the last bytes time to arrive before the connection is reset.
                    let _ = to.shutdown().await;
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    return;
                }
                Ok(count) => count,
            };
            while direction == Direction::Answer && self.fault() == LinkFault::AnswersHeld {
                tokio::time::sleep(SILENCE_POLL).await;
            }
            match self.fault() {
                LinkFault::Reset => return,
                LinkFault::Silent => is_silent = true,
                LinkFault::AnswersLost if direction == Direction::Answer => is_silent = true,
                LinkFault::Delay(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
                LinkFault::AnswersLost | LinkFault::AnswersHeld | LinkFault::None => {}
            }
            if !is_silent && to.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }
}
