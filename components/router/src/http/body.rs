//! Reading of request bodies.

use std::time::Duration;

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use viz::Request;

/// Longest request body, in bytes.
const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Longest time for a request body to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the whole body of a request.
///
/// # Errors
/// `BodyTooLarge`, `SlowSender`, or `BadRequest` where the connection broke.
pub(crate) async fn read_body(req: &mut Request) -> Result<Bytes> {
    let body = Limited::new(std::mem::take(req.body_mut()), BODY_MAX_BYTES);
    let collected = tokio::time::timeout(BODY_TIMEOUT, body.collect()).await.map_err(|_| {
        let message = format!("the body did not arrive within {} s", BODY_TIMEOUT.as_secs());
        Error::new(ErrorKind::SlowSender, message)
    })?;
    collected.map(|body| body.to_bytes()).map_err(|error| {
        if error.is::<LengthLimitError>() {
            let message = format!("the body has more than {BODY_MAX_BYTES} bytes");
            Error::new(ErrorKind::BodyTooLarge, message)
        } else {
            Error::new(ErrorKind::BadRequest, "the body did not arrive whole")
        }
    })
}
