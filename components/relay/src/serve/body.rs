//! Body type of answers to callers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::{Stream, stream::BoxStream};
use hyper::body::{Body, Frame, SizeHint};

/// Body of an answer to a caller.
pub(crate) enum ResponseBody {
    /// The whole body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// A body that arrives in chunks. An error closes the connection, so that the caller does not
    /// take the answer for complete.
    Chunks(BoxStream<'static, io::Result<Bytes>>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            ResponseBody::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            ResponseBody::Chunks(chunks) => {
                Pin::new(chunks).poll_next(cx).map(|it| it.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            ResponseBody::Chunks(_) => SizeHint::default(),
        }
    }
}
