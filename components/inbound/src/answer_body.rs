//! Body of an answer that keeps its request in progress.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use hyper::body::{Body, Frame, SizeHint};

/// Body of an answer, with the request that it answers: `R` is dropped once the body has been passed on.
#[derive(Debug)]
pub struct AnswerBody<B, R> {
    body: B,
    _request: R,
}

impl<B, R> AnswerBody<B, R> {
    /// Creates the body of the answer to `request`.
    pub fn new(body: B, request: R) -> AnswerBody<B, R> {
        AnswerBody { body, _request: request }
    }
}

impl<B: Body + Unpin, R: Unpin> Body for AnswerBody<B, R> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
