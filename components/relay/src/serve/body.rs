//! Bodies of answers to callers.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use futures::{Stream, stream::BoxStream};
use hyper::body::{Body, Frame, SizeHint};

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it is there.
    Whole(Option<Bytes>),
    /// It arrives in parts; an error ends the connection so that the answer does not look
    /// complete.
    Parts(BoxStream<'static, io::Result<Bytes>>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            AnswerBody::Parts(parts) => {
                Pin::new(parts).poll_next(cx).map(|it| it.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            AnswerBody::Parts(_) => SizeHint::default(),
        }
    }
}
