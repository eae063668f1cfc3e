//! Responses of the administration API.

use admin_api::{AdminErrorBody, AdminErrorDetail};
use http::{HeaderValue, StatusCode, header::CONTENT_TYPE};
use serde::Serialize;
use viz::{Body, Response};

use super::AdminError;

/// Creates the response to a call, and counts it.
pub(super) fn respond<T: Serialize>(result: Result<T, AdminError>) -> Response {
    let code = result.as_ref().map_or_else(|error| error.error.kind().code(), |_| "ok");
    metrics::counter!(telemetry::ADMIN_CALLS_TOTAL, "result" => code).increment(1);
    match result {
        Ok(body) => json_response(StatusCode::OK, &body),
        Err(error) => respond_error(error),
    }
}

fn respond_error(error: AdminError) -> Response {
    let entry = error.error.kind().entry();
    let mut detail = error.error.answer().error;
    if !entry.retry_delay.is_zero() {
        detail.retry_after_ms = u64::try_from(entry.retry_delay.as_millis()).ok();
    }
    let (faults, differences) = (error.faults, error.differences);
    let body = AdminErrorBody { error: AdminErrorDetail { detail, faults, differences } };
    let status = StatusCode::from_u16(entry.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    json_response(status, &body)
}

fn json_response<T: Serialize>(status: StatusCode, body: &T) -> Response {
    let json = serde_json::to_vec(body).expect("responses serialize to JSON");
    let mut res = Response::new(Body::Full(json.into()));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}
