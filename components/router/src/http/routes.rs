//! Routes of the HTTP interface.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use telemetry::MetricsHandle;
use viz::Router;

use super::{
    action::serve_action,
    addresses::serve_addresses,
    body::BodyReader,
    chat::serve_chat,
    health::{serve_health, serve_metrics, serve_readiness},
    respond::serve_unmatched,
};
use crate::{
    RouterContext,
    admin::{AdminContext, admin_routes},
    traffic::Runs,
};

/// State of the handlers of the HTTP interface.
#[derive(Clone)]
pub(crate) struct HttpContext {
    /// Services that all request handlers share.
    pub(crate) router: RouterContext,
    /// Requests in progress.
    pub(crate) runs: Runs,
    /// Reads the bodies of requests.
    pub(crate) bodies: BodyReader,
    /// Renders the metrics of the process.
    pub(crate) metrics: MetricsHandle,
    /// Whether new requests are rejected because the router is leaving.
    pub(crate) is_draining: Arc<AtomicBool>,
    /// State of the handlers of the administration API.
    pub(crate) admin: AdminContext,
}

impl HttpContext {
    /// Reports whether new requests are rejected.
    pub(crate) fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Returns the routes of callers, operators and monitoring.
    pub(crate) fn routes(&self) -> Router {
        let (chat, action, addresses) = (self.clone(), self.clone(), self.clone());
        let (ready, metrics) = (self.clone(), self.clone());
        admin_routes(Router::new(), &self.admin)
            .post("/v1/chat/completions", move |req| serve_chat(chat.clone(), req))
            .post("/v1/actions/:name", move |req| serve_action(action.clone(), req))
            .get("/v1/addresses", move |req| serve_addresses(addresses.clone(), req))
            .get("/health", serve_health)
            .get("/ready", move |req| serve_readiness(ready.clone(), req))
            .get("/metrics", move |req| serve_metrics(metrics.clone(), req))
            .any("/*", serve_unmatched)
    }
}
