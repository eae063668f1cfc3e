//! Parses the headers of requests.

use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, header::CONTENT_TYPE};
use rand::Rng as _;
use types::{RequestId, Timestamp};

use super::respond::IDEMPOTENCY_KEY_HEADER;
use crate::Clock;

/// Header with the request's timeout in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Maximum total size of a request's header names and values, in bytes.
pub(super) const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Timeout of a request without [`TIMEOUT_HEADER`].
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum timeout of a request; longer ones are shortened to it.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Checks the size of the headers. The HTTP library rejects only much larger ones.
///
/// # Errors
/// `HeadersTooLarge` if they are larger than [`HEAD_MAX_BYTES`].
pub(super) fn check_header_size(headers: &HeaderMap) -> Result<()> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes <= HEAD_MAX_BYTES {
        return Ok(());
    }
    let message = format!("the request headers are larger than {HEAD_MAX_BYTES} bytes");
    Err(Error::new(ErrorKind::HeadersTooLarge, message))
}

/// Returns the request id from the `Idempotency-Key` header, or a random one.
///
/// # Errors
/// `BadRequest` if the header is not a valid request id.
pub(super) fn request_id(headers: &HeaderMap) -> Result<RequestId> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        let number: u128 = utils::new_rng().random();
        let text = format!("{number:032x}");
        return Ok(RequestId::new(&text).expect("hexadecimal digits are a valid request id"));
    };
    let text = value.to_str().unwrap_or_default();
    RequestId::new(text)
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("Idempotency-Key: {error}")))
}

/// Returns the deadline of the request, from [`TIMEOUT_HEADER`] or the default timeout.
///
/// # Errors
/// `BadRequest` if the timeout is not a positive number of milliseconds.
pub(super) fn deadline(headers: &HeaderMap, clock: &Clock) -> Result<Timestamp> {
    let Some(value) = headers.get(TIMEOUT_HEADER) else {
        return Ok(clock.now() + DEFAULT_TIMEOUT);
    };
    let millis = value.to_str().ok().and_then(|text| text.parse::<u64>().ok());
    match millis.filter(|&millis| millis > 0) {
        Some(millis) => Ok(clock.now() + Duration::from_millis(millis).min(MAX_TIMEOUT)),
        None => {
            let message = format!("{TIMEOUT_HEADER}: expected a positive number of milliseconds");
            Err(Error::new(ErrorKind::BadRequest, message))
        }
    }
}

/// Checks that `Content-Type` is `application/json`.
///
/// # Errors
/// `UnsupportedMediaType` if it is missing or another type.
pub(super) fn check_content_type(headers: &HeaderMap) -> Result<()> {
    let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let mime = value.unwrap_or_default().split(';').next().unwrap_or_default().trim();
    if mime.eq_ignore_ascii_case("application/json") {
        Ok(())
    } else {
        let message = "the Content-Type header must be application/json";
        Err(Error::new(ErrorKind::UnsupportedMediaType, message))
    }
}
