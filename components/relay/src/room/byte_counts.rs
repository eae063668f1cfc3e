//! Counts the bytes that pass over sockets.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Numbers of bytes since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct ByteCounts {
    received: AtomicU64,
    sent: AtomicU64,
}

impl ByteCounts {
    /// Returns the numbers of bytes received and sent.
    pub(crate) fn totals(&self) -> (u64, u64) {
        (self.received.load(Ordering::Relaxed), self.sent.load(Ordering::Relaxed))
    }
}

/// A TCP connection whose bytes are counted.
#[derive(Debug)]
pub(crate) struct CountedIo {
    stream: TcpStream,
    counts: Arc<ByteCounts>,
}

impl CountedIo {
    /// Counts the bytes of a connection in `counts`.
    pub(crate) fn new(stream: TcpStream, counts: Arc<ByteCounts>) -> CountedIo {
        CountedIo { stream, counts }
    }

    fn count_sent(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = written {
            self.counts.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        }
        written
    }
}

impl AsyncRead for CountedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        self.counts.received.fetch_add(bytes as u64, Ordering::Relaxed);
        read
    }
}

impl AsyncWrite for CountedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_sent(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_sent(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
