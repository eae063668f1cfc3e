//! What the head of a request says.

use std::time::Duration;

use errors::{Error, ErrorKind, Result};
use http::{HeaderMap, header::CONTENT_TYPE};
use rand::Rng as _;
use types::{RequestId, Timestamp};

use super::respond::REQUEST_ID;
use crate::Clock;

/// Header with the time that the caller gives the request, in milliseconds.
const TIMEOUT_HEADER: &str = "x-request-timeout-ms";

/// Most bytes of the headers of a request.
pub(super) const HEAD_MAX_BYTES: usize = 32 * 1024;

/// Time of a request whose caller does not give one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(120);

/// Longest time of a request.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Checks the size of the headers. The HTTP library refuses only much larger ones.
///
/// # Errors
/// `HeadersTooLarge` where they have more than [`HEAD_MAX_BYTES`].
pub(super) fn check_size(headers: &HeaderMap) -> Result<()> {
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if bytes <= HEAD_MAX_BYTES {
        return Ok(());
    }
    let message = format!("the headers have more than {HEAD_MAX_BYTES} bytes");
    Err(Error::new(ErrorKind::HeadersTooLarge, message))
}

/// Returns the request id that the caller gave, or a new one.
///
/// # Errors
/// `BadRequest` where the given one is not a request id.
pub(super) fn request_id(headers: &HeaderMap) -> Result<RequestId> {
    let Some(value) = headers.get(REQUEST_ID) else {
        let number: u128 = utils::new_rng().random();
        let text = format!("{number:032x}");
        return Ok(RequestId::new(&text).expect("hexadecimal digits make a request id"));
    };
    let text = value.to_str().unwrap_or_default();
    RequestId::new(text)
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("Idempotency-Key: {error}")))
}

/// Returns the deadline of the request.
///
/// # Errors
/// `BadRequest` where the caller's time is not a positive number of milliseconds.
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

/// Checks that the body is said to be JSON.
///
/// # Errors
/// `UnsupportedMediaType` where it is not.
pub(super) fn check_json(headers: &HeaderMap) -> Result<()> {
    let value = headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok());
    let mime = value.unwrap_or_default().split(';').next().unwrap_or_default().trim();
    if mime.eq_ignore_ascii_case("application/json") {
        Ok(())
    } else {
        let message = "the content type must be application/json";
        Err(Error::new(ErrorKind::UnsupportedMediaType, message))
    }
}
