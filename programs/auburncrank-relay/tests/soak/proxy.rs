//! A loopback proxy that disturbs the connections that go through it.

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
};

/// What a proxy does with bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Passes them on.
    None,
    /// Passes them on after this many milliseconds.
    Delay(u64),
    /// Resets the connection.
    Reset,
    /// Drops all bytes, for good on connections that are in use meanwhile.
    Silent,
    /// Drops the answers' bytes, for good on connections that are in use meanwhile.
    AnswersLost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    Request,
    Answer,
}

/// A proxy before one address.
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
                tokio::spawn(shared.clone().join(stream, target));
            }
        });
        proxy
    }

    pub(crate) fn disturb(&self, fault: LinkFault) {
        *self.fault.lock().unwrap() = fault;
    }

    fn fault(&self) -> LinkFault {
        *self.fault.lock().unwrap()
    }

    async fn join(self, near: TcpStream, target: SocketAddr) {
        let Ok(far) = TcpStream::connect(target).await else { return };
        // Dropping a stream with this set resets its connection.
        let _ = near.set_zero_linger();
        let ((near_read, near_write), (far_read, far_write)) =
            (near.into_split(), far.into_split());
        let request = self.copy(near_read, far_write, Direction::Request);
        let answer = self.copy(far_read, near_write, Direction::Answer);
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
                    // Lets the last bytes arrive before the connection goes.
                    let _ = to.shutdown().await;
                    tokio::time::sleep(Duration::from_millis(20)).await;
                    return;
                }
                Ok(count) => count,
            };
            match self.fault() {
                LinkFault::Reset => return,
                LinkFault::Silent => is_silent = true,
                LinkFault::AnswersLost if direction == Direction::Answer => is_silent = true,
                LinkFault::Delay(millis) => tokio::time::sleep(Duration::from_millis(millis)).await,
                LinkFault::AnswersLost | LinkFault::None => {}
            }
            if !is_silent && to.write_all(&buf[..count]).await.is_err() {
                return;
            }
        }
    }
}
