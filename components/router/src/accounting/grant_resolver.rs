//! Resolves amounts in doubt by an operator's decision.

use std::{
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

use async_trait::async_trait;
use budget::{ResolveError, budget_key, grant_key, resolve_in_doubt};
use config::Resolution;
use errors::{Error, ErrorKind, Result};
use platform::{Commit, Table};
use types::RouterId;

use crate::{admin::Resolver, peers::Peers};

/// Resolves amounts in doubt; hands other resolutions on.
pub struct GrantResolver {
    /// The platform's table.
    table: Arc<dyn Table>,
    /// The other routers.
    peers: Arc<dyn Peers>,
    /// Resolver of everything else.
    next: Arc<dyn Resolver>,
}

impl GrantResolver {
    /// Creates a resolver that hands what is not about grants to `next`.
    pub fn new(
        table: Arc<dyn Table>,
        peers: Arc<dyn Peers>,
        next: Arc<dyn Resolver>,
    ) -> GrantResolver {
        GrantResolver { table, peers, next }
    }
}

#[async_trait]
impl Resolver for GrantResolver {
    async fn prepare(&self, resolution: &Resolution) -> Result<Commit> {
        let Resolution::CloseGrant { account, router, incarnation, spent } = resolution else {
            return self.next.prepare(resolution).await;
        };
        let router = RouterId::new(router.clone(), *incarnation);
        let keys = [budget_key(account), grant_key(account, &router)];
        let rows = self
            .table
            .read(&keys)
            .await
            .map_err(|error| Error::new(ErrorKind::StoreUnavailable, error.to_string()))?;
        let row = |index: usize| rows.get(index).and_then(Option::as_ref);
        let view = self.peers.view();
        let live: Vec<RouterId> = view.members().map(|member| member.id.clone()).collect();
        let rows = (row(0), row(1));
        resolve_in_doubt(account, &router, *spent, rows, &live, unix_ms()).map_err(resolve_error)
    }
}

fn resolve_error(error: ResolveError) -> Error {
    let kind = match error {
        ResolveError::Missing(_) | ResolveError::NotInDoubt(_) => ErrorKind::NotFound,
        ResolveError::TooMany { .. } => ErrorKind::BadRequest,
        ResolveError::Unreadable(_) | ResolveError::Inconsistent => ErrorKind::StoreUnavailable,
    };
    Error::new(kind, error.to_string())
}

/// Returns the wall clock, in milliseconds of Unix time.
pub(super) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
