//! Health, readiness and metrics endpoints.

use types::ConfigVersion;
use viz::{IntoResponse, Request, Response, ResponseExt, Result, StatusCode};

use super::HttpContext;
use crate::configuration::CONFIRMATION_MAX_AGE;

/// Serves `GET /health`, which succeeds as long as the process runs.
pub(super) async fn serve_health(_req: Request) -> Result<Response> {
    Ok(Response::text("ok\n"))
}

/// Serves `GET /ready`, which succeeds if the router accepts new requests.
///
/// If the table has not recently confirmed that the active configuration is the latest, the body
/// says so.
pub(super) async fn serve_readiness(cx: HttpContext, _req: Request) -> Result<Response> {
    if cx.is_draining() {
        return Ok((StatusCode::SERVICE_UNAVAILABLE, "leaving\n").into_response());
    }
    if cx.router.cfg.version() == ConfigVersion(0) {
        return Ok((StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n").into_response());
    }
    if is_behind(&cx) {
        let text = "another router has a later configuration\n";
        return Ok((StatusCode::SERVICE_UNAVAILABLE, text).into_response());
    }
    let is_confirmed = cx.router.cfg.confirmed_age().is_some_and(|age| age < CONFIRMATION_MAX_AGE);
    let text = if is_confirmed { "ready\n" } else { "ready; the configuration is not confirmed\n" };
    Ok(Response::text(text))
}

/// Reports whether another router has a later configuration and the table has never
/// confirmed this router's. A router in this state was restarted and is still catching up.
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
