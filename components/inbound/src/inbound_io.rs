//! The stream of a client's connection, which records what arrives.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::OpenConnection;

/// A stream whose received bytes count in the book of its connection.
#[derive(Debug)]
pub struct InboundIo<T> {
    stream: T,
    connection: OpenConnection,
}

impl<T> InboundIo<T> {
    /// Counts what arrives on `stream` for `connection`.
    pub fn new(stream: T, connection: OpenConnection) -> InboundIo<T> {
        InboundIo { stream, connection }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for InboundIo<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes > 0 {
            self.connection.received(bytes);
        }
        read
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for InboundIo<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.connection.set_write_blocked(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.connection.set_write_blocked(written.is_pending());
        written
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
