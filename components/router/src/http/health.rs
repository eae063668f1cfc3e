//! Health, readiness and metrics.

use types::ConfigVersion;
use viz::{IntoResponse, Request, Response, ResponseExt, Result, StatusCode};

use super::HttpContext;

/// Serves `GET /health`: the process runs.
pub(super) async fn serve_health(_req: Request) -> Result<Response> {
    Ok(Response::text("ok\n"))
}

/// Serves `GET /ready`: the router takes new requests.
pub(super) async fn serve_readiness(cx: HttpContext, _req: Request) -> Result<Response> {
    if cx.is_closed() {
        return Ok((StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response());
    }
    if cx.router.cfg.version() == ConfigVersion(0) {
        return Ok((StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n").into_response());
    }
    Ok(Response::text("ready\n"))
}

/// Serves `GET /metrics` in the Prometheus text format.
pub(super) async fn serve_metrics(cx: HttpContext, _req: Request) -> Result<Response> {
    metrics::gauge!(telemetry::REQUESTS_IN_PROGRESS).set(cx.runs.len() as f64);
    Ok(Response::text(cx.metrics.render()))
}
