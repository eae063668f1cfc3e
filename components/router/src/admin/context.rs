//! Context of the handlers of the administration API.

use std::sync::Arc;

use config::{ApiKey, Config, KeyHash};
use errors::{ErrorKind, Result};

use super::{Resolver, access::AuthenticatedOperator};
use crate::{
    RouterContext, configuration::read_config, control_jobs::ControllerHandle, http::BodyReader,
    traffic::Runs,
};

/// State of the handlers of the administration API.
#[derive(Clone)]
pub(crate) struct AdminContext {
    /// Services that all request handlers share.
    pub(crate) router: RouterContext,
    /// Reads the bodies of requests.
    pub(crate) bodies: BodyReader,
    /// Requests in progress.
    pub(crate) runs: Runs,
    /// Hash of the key that has the admin role while no operator is configured.
    pub(crate) bootstrap: Option<KeyHash>,
    /// Converts resolutions to commits.
    pub(crate) resolver: Arc<dyn Resolver>,
    /// Controller that sends orders to engines.
    pub(crate) controller: ControllerHandle,
}

/// Authenticated call of an operator.
pub(super) struct AdminCall {
    /// Operator who made the call.
    pub(super) operator: AuthenticatedOperator,
    /// Accepted configuration, or the active one if the table is unavailable.
    pub(super) cfg: Arc<Config>,
    /// Result of reading the table; calls that change something return its error.
    pub(super) store: Result<()>,
}

impl AdminContext {
    /// Authenticates a call against the accepted configuration. If the table is unavailable, the
    /// active configuration is used instead, and only read calls are served.
    ///
    /// # Errors
    /// `Unauthorized`, or `Internal` if a row is corrupt.
    pub(super) async fn authenticate(&self, key: Option<ApiKey>) -> Result<AdminCall> {
        let active_cfg = self.router.cfg.load_full();
        let (cfg, store) = match read_config(&*self.router.table, &active_cfg).await {
            Ok(stored) => (stored.cfg, Ok(())),
            Err(error) if error.kind() == ErrorKind::StoreUnavailable => (active_cfg, Err(error)),
            Err(error) => return Err(error),
        };
        let operator = AuthenticatedOperator::authenticate(
            &cfg,
            store.is_ok(),
            self.bootstrap.as_ref(),
            key.as_ref(),
        )?;
        Ok(AdminCall { operator, cfg, store })
    }
}
