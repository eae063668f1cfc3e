//! Reads request bodies.

use bytes::Bytes;
use errors::{Error, ErrorKind, Result};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use viz::Request;

use crate::HttpLimits;

/// Reads the complete body of a request.
///
/// # Errors
/// `BodyTooLarge`, `SlowSender`, or `BadRequest` if the connection failed.
pub(crate) async fn read_body(req: &mut Request, limits: &HttpLimits) -> Result<Bytes> {
    let body = Limited::new(std::mem::take(req.body_mut()), limits.body_max_bytes);
    let collected =
        tokio::time::timeout(limits.body_timeout, body.collect()).await.map_err(|_| {
            let message =
                format!("the request body was not received within {:?}", limits.body_timeout);
            Error::new(ErrorKind::SlowSender, message)
        })?;
    collected.map(|body| body.to_bytes()).map_err(|error| {
        if error.is::<LengthLimitError>() {
            let message =
                format!("the request body is larger than {} bytes", limits.body_max_bytes);
            Error::new(ErrorKind::BodyTooLarge, message)
        } else {
            Error::new(
                ErrorKind::BadRequest,
                "the connection failed before the request body was complete",
            )
        }
    })
}
