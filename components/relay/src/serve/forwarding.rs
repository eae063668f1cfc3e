//! Passes on the bytes of answers as they arrive.

use std::io;

use bytes::Bytes;
use futures::{StreamExt, stream};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{
    connection::Connection,
    exchange::PlacementGuard,
    run::{ActiveRequest, CutReason},
};

/// An endpoint's answer whose head has been read.
pub(super) struct EndpointStream {
    /// Body of the answer.
    pub(super) body: Incoming,
    /// Connection on which the body arrives.
    pub(super) connection: Connection,
    /// Placement on the endpoint.
    pub(super) guard: PlacementGuard,
}

/// Passes on `start` and then the bytes of the answer unchanged, until it or the time for the
/// request ends. An answer that does not end by itself ends with an error.
pub(super) fn forward_bytes(
    request: ActiveRequest,
    start: Bytes,
    source: EndpointStream,
) -> stream::BoxStream<'static, io::Result<Bytes>> {
    let until = request.cx.instant(request.deadline);
    let rest = stream::unfold(Some((request, source)), move |state| async move {
        let (request, mut source) = state?;
        loop {
            match tokio::time::timeout_at(until, source.body.frame()).await {
                Err(_) => {
                    request.record_cut(CutReason::Deadline);
                    return Some((Err(io::ErrorKind::TimedOut.into()), None));
                }
                Ok(None) => {
                    request.cx.connections.release(source.connection);
                    return None;
                }
                Ok(Some(Err(error))) => {
                    request.record_cut(CutReason::Broken);
                    return Some((Err(io::Error::other(error)), None));
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Some((Ok(data), Some((request, source))));
                    }
                }
            }
        }
    });
    let start = (!start.is_empty()).then_some(Ok(start));
    stream::iter(start).chain(rest).boxed()
}
