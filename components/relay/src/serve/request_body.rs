//! Reads the body of a caller's request.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use errors::{Error, ErrorKind};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

/// Time within which a body has to arrive, so that a disconnected caller does not hold memory
/// for longer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads a body of at most `max_bytes`.
///
/// # Errors
/// Returns an error if the body is longer, malformed, or does not arrive in time.
pub(super) async fn read_body(body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let collected = tokio::time::timeout(BODY_TIMEOUT, collect(body, max_bytes)).await;
    collected.unwrap_or_else(|_| {
        Err(Error::new(ErrorKind::SlowSender, "the request body did not arrive in time"))
    })
}

async fn collect(mut body: Incoming, max_bytes: usize) -> Result<Bytes, Error> {
    let declared = body.size_hint().exact().unwrap_or_default();
    if declared > max_bytes as u64 {
        return Err(too_large());
    }
    let mut first: Option<Bytes> = None;
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Error::new(ErrorKind::BadRequest, format!("failed to read the request body: {error}"))
        })?;
        let Ok(data) = frame.into_data() else { continue };
        if first.is_none() && buf.is_empty() {
            first = Some(data);
            continue;
        }
        if let Some(first) = first.take() {
            buf.reserve(usize::try_from(declared).unwrap_or_default());
            buf.extend_from_slice(&first);
        }
        buf.extend_from_slice(&data);
        if buf.len() > max_bytes {
            return Err(too_large());
        }
    }
    let whole = first.unwrap_or_else(|| buf.freeze());
    if whole.len() > max_bytes { Err(too_large()) } else { Ok(whole) }
}

fn too_large() -> Error {
    Error::new(ErrorKind::BodyTooLarge, "the request body exceeds the limit")
}
