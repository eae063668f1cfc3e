//! What the handlers of the administration API need.

use std::sync::Arc;

use config::{ApiKey, Config, KeyHash};
use errors::{ErrorKind, Result};

use super::{Resolver, access::Caller};
use crate::{
    RouterContext, configuration::read_config, control_jobs::ControllerHandle, traffic::Runs,
};

/// What the handlers of the administration API need.
#[derive(Clone)]
pub(crate) struct AdminContext {
    /// What every request needs.
    pub(crate) router: RouterContext,
    /// The runs in progress.
    pub(crate) runs: Runs,
    /// Hash of the key that counts as an admin's while there is no operator.
    pub(crate) bootstrap: Option<KeyHash>,
    /// Turns resolutions into writes.
    pub(crate) resolver: Arc<dyn Resolver>,
    /// The controller of orders to engines.
    pub(crate) controller: ControllerHandle,
}

/// A call of an operator who was authenticated.
pub(super) struct AdminCall {
    /// The operator.
    pub(super) caller: Caller,
    /// The accepted configuration, or the one in force where the table is away.
    pub(super) cfg: Arc<Config>,
    /// Why the table could not be read, if it could not.
    pub(super) store: Result<()>,
}

impl AdminContext {
    /// Authenticates a call against the accepted configuration. With the table away,
    /// the one in force decides, and only calls that read are served.
    ///
    /// # Errors
    /// `Unauthorized`, or `Internal` where a row is corrupt.
    pub(super) async fn authenticate(&self, key: Option<ApiKey>) -> Result<AdminCall> {
        let in_force = self.router.cfg.load_full();
        let (cfg, store) = match read_config(&*self.router.table, &in_force).await {
            Ok(stored) => (stored.cfg, Ok(())),
            Err(error) if error.kind() == ErrorKind::StoreUnavailable => (in_force, Err(error)),
            Err(error) => return Err(error),
        };
        let caller =
            Caller::authenticate(&cfg, store.is_ok(), self.bootstrap.as_ref(), key.as_ref())?;
        Ok(AdminCall { caller, cfg, store })
    }
}
