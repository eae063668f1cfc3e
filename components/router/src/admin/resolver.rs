//! Converts resolutions to commits.

use async_trait::async_trait;
use config::Resolution;
use errors::{Error, ErrorKind, Result};
use platform::Commit;
use types::OperatorName;

/// Converts an operator's resolution to the commit that applies it. Implemented by the
/// subsystems that own the rows.
#[async_trait]
pub trait Resolver: Send + Sync {
    /// Returns the preconditions and writes of `resolution`, which become part of the plan's
    /// commit.
    ///
    /// # Errors
    /// `NotFound` if there is nothing left to resolve; `StoreUnavailable` if the rows cannot be
    /// read.
    async fn prepare(&self, resolution: &Resolution, operator: &OperatorName) -> Result<Commit>;
}

/// Resolver that always returns `NotFound`.
pub struct NoResolver;

#[async_trait]
impl Resolver for NoResolver {
    async fn prepare(&self, resolution: &Resolution, _operator: &OperatorName) -> Result<Commit> {
        Err(Error::new(ErrorKind::NotFound, format!("nothing to resolve: {resolution}")))
    }
}
