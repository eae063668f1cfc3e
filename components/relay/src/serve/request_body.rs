//! Reads the body of a caller's request.

use std::time::Duration;

use errors::{Error, ErrorKind};
use hyper::body::{Body, Incoming};
use inbound::{BodyError, HeldBody};
use utils::jitter;

use crate::context::RelayContext;

/// Time within which a body has to arrive, so that a disconnected caller does not hold memory
/// for longer.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Mean retry delay returned to callers whose body was given up.
const LOST_BODY_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Reads a body of at most `max_bytes`.
///
/// # Errors
/// Returns an error if the body is longer, malformed, does not arrive in time, or there is no memory for it.
pub(super) async fn read_body(
    cx: &RelayContext,
    body: Incoming,
    max_bytes: usize,
) -> Result<HeldBody, Error> {
    if body.is_end_stream() {
        return Ok(HeldBody::empty());
    }
    within_timeout(cx, inbound::read_body(body, max_bytes, &cx.bodies)).await
}

/// Reads a body of a request that is refused, so that the connection stays usable. Nothing of it is held.
///
/// # Errors
/// Returns an error if the body is longer than `max_bytes`, malformed, or does not arrive in time.
pub(super) async fn discard_body(
    cx: &RelayContext,
    body: Incoming,
    max_bytes: usize,
) -> Result<(), Error> {
    if body.is_end_stream() {
        return Ok(());
    }
    within_timeout(cx, inbound::discard_body(body, max_bytes)).await
}

async fn within_timeout<T>(
    cx: &RelayContext,
    read: impl Future<Output = Result<T, BodyError>>,
) -> Result<T, Error> {
    match tokio::time::timeout(BODY_TIMEOUT, read).await {
        Ok(read) => read.map_err(|error| to_answer(cx, &error)),
        Err(_) => Err(Error::new(ErrorKind::SlowSender, "the request body did not arrive in time")),
    }
}

/// Returns the error that the caller gets. A request without its whole body has not run.
fn to_answer(cx: &RelayContext, error: &BodyError) -> Error {
    match error {
        BodyError::TooLarge => Error::new(ErrorKind::BodyTooLarge, error.to_string()),
        BodyError::Malformed(_) => Error::new(ErrorKind::BadRequest, error.to_string()),
        BodyError::Lost(_) => Error::new(ErrorKind::Overloaded, error.to_string())
            .with_retry_delay(jitter(LOST_BODY_RETRY_DELAY, &mut cx.lock_rng())),
    }
}
