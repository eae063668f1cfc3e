//! Error responses.

use client::ERROR_HEADER;
use errors::{Error, ErrorKind};
use http::{
    HeaderName, HeaderValue, StatusCode,
    header::{CONTENT_TYPE, RETRY_AFTER},
};
use types::RequestId;
use utils::{jitter, new_rng};
use viz::{Body, Request, Response, Result};

/// Header with the request id, in requests and responses.
pub(super) const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");

/// Paths of the resources that support a single method.
const KNOWN_PATHS: [&str; 5] =
    ["/v1/chat/completions", "/v1/addresses", "/health", "/ready", "/metrics"];

/// Path prefix of actions.
const ACTIONS_PREFIX: &str = "/v1/actions/";

/// Creates the response to an error from the entry of its kind in the error table, and counts it.
pub(super) fn respond_error(error: &Error, id: Option<&RequestId>) -> Response {
    let entry = error.kind().entry();
    metrics::counter!(telemetry::REFUSALS_TOTAL, "code" => entry.code).increment(1);
    let mut answer = error.answer();
    let mut res = Response::new(Body::empty());
    *res.status_mut() =
        StatusCode::from_u16(entry.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if !entry.retry_delay.is_zero() {
        let default_delay = || jitter(entry.retry_delay, &mut new_rng());
        let delay = error.retry_delay().unwrap_or_else(default_delay);
        answer.error.retry_after_ms = u64::try_from(delay.as_millis()).ok();
        let seconds = delay.as_secs() + 1;
        res.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    insert_request_id(&mut res, id);
    res.headers_mut().insert(ERROR_HEADER, HeaderValue::from_static(entry.code));
    let json = serde_json::to_vec(&answer).expect("an error answer serializes to JSON");
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    *res.body_mut() = Body::Full(json.into());
    res
}

/// Creates the response to a request whose id is known, and adds the id to it.
pub(super) fn respond_with_id(result: errors::Result<Response>, id: &RequestId) -> Response {
    let mut res = result.unwrap_or_else(|error| respond_error(&error, Some(id)));
    insert_request_id(&mut res, Some(id));
    res
}

/// Adds the request id to a response.
fn insert_request_id(res: &mut Response, id: Option<&RequestId>) {
    let value = id.and_then(|id| HeaderValue::from_str(id.as_str()).ok());
    if let Some(value) = value {
        res.headers_mut().insert(IDEMPOTENCY_KEY_HEADER, value);
    }
}

/// Handles requests that match no route: the resource is unknown, or does not support the
/// method.
pub(super) async fn serve_unmatched(req: Request) -> Result<Response> {
    let path = req.uri().path();
    let is_known = KNOWN_PATHS.contains(&path) || path.starts_with(ACTIONS_PREFIX);
    let error = if is_known {
        Error::new(ErrorKind::MethodNotAllowed, "the resource does not support this method")
    } else {
        Error::new(ErrorKind::NotFound, "no such resource")
    };
    Ok(respond_error(&error, None))
}
