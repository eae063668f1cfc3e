//! Health, readiness and metrics.

use types::ConfigVersion;
use viz::{IntoResponse, Request, Response, ResponseExt, Result, StatusCode};

use super::HttpContext;
use crate::configuration::CONFIRMED_SPAN;

/// Serves `GET /health`: the process runs.
pub(super) async fn serve_health(_req: Request) -> Result<Response> {
    Ok(Response::text("ok\n"))
}

/// Serves `GET /ready`: the router takes new requests.
///
/// The answer says so where the table has not confirmed lately that the configuration in
/// force is the latest.
pub(super) async fn serve_readiness(cx: HttpContext, _req: Request) -> Result<Response> {
    if cx.is_closed() {
        return Ok((StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response());
    }
    if cx.router.cfg.version() == ConfigVersion(0) {
        return Ok((StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n").into_response());
    }
    if is_behind(&cx) {
        let text = "another router has a later configuration\n";
        return Ok((StatusCode::SERVICE_UNAVAILABLE, text).into_response());
    }
    let is_confirmed = cx.router.cfg.confirmed_age().is_some_and(|age| age < CONFIRMED_SPAN);
    let text = if is_confirmed { "ready\n" } else { "ready; the configuration is not confirmed\n" };
    Ok(Response::text(text))
}

/// Tells whether a router that the table has never confirmed knows of one with a later
/// configuration. Such a router has been started anew and is still catching up.
fn is_behind(cx: &HttpContext) -> bool {
    let view = cx.router.peers.view();
    let version = cx.router.cfg.version();
    cx.router.cfg.confirmed_age().is_none()
        && view.others.iter().any(|it| it.config_version > version)
}

/// Serves `GET /metrics` in the Prometheus text format.
pub(super) async fn serve_metrics(cx: HttpContext, _req: Request) -> Result<Response> {
    metrics::gauge!(telemetry::REQUESTS_IN_PROGRESS).set(cx.runs.len() as f64);
    Ok(Response::text(cx.metrics.render()))
}
