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
    chat::serve_chat,
    health::{serve_health, serve_metrics, serve_readiness},
    respond::serve_unknown,
};
use crate::{
    HttpLimits, RouterContext,
    admin::{AdminContext, admin_routes},
    traffic::Runs,
};

/// What the handlers of the HTTP interface need.
#[derive(Clone)]
pub(crate) struct HttpContext {
    /// What every request needs.
    pub(crate) router: RouterContext,
    /// The runs in progress.
    pub(crate) runs: Runs,
    /// Limits on what callers send.
    pub(crate) limits: HttpLimits,
    /// Metrics of the process.
    pub(crate) metrics: MetricsHandle,
    /// Whether new requests are refused because the router is leaving.
    pub(crate) is_closed: Arc<AtomicBool>,
    /// What the handlers of the administration API need.
    pub(crate) admin: AdminContext,
}

impl HttpContext {
    /// Tells whether new requests are refused.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Returns the routes.
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
            .any("/*", serve_unknown)
    }
}
