//! Turns resolutions into writes.

use async_trait::async_trait;
use config::Resolution;
use errors::{Error, ErrorKind, Result};
use platform::Commit;
use types::OperatorName;

/// Turns an operator's resolution into the commit that carries it out. Implemented by
/// the subsystems that own the rows.
#[async_trait]
pub trait Resolver: Send + Sync {
    /// Returns the preconditions and writes of `resolution`; they take effect in the
    /// commit of the plan.
    ///
    /// # Errors
    /// `NotFound` where there is nothing to resolve any more; `StoreUnavailable` where
    /// the rows cannot be read.
    async fn prepare(&self, resolution: &Resolution, operator: &OperatorName) -> Result<Commit>;
}

/// Finds nothing to resolve.
pub struct NoResolver;

#[async_trait]
impl Resolver for NoResolver {
    async fn prepare(&self, resolution: &Resolution, _operator: &OperatorName) -> Result<Commit> {
        Err(Error::new(ErrorKind::NotFound, format!("nothing to resolve: {resolution}")))
    }
}
