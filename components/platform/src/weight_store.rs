//! The rate-limited store of model weights.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use types::{AdapterName, ModelName, ModelVersion};

use crate::PlatformError;

/// Identity of one set of weights.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WeightId {
    /// Model that the weights, or the adapter, belong to.
    pub model: ModelName,
    /// Version of the adapter if there is one, otherwise of the model.
    pub version: ModelVersion,
    /// Adapter, if the weights are those of an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
}

/// The platform's store of model weights, from which engines load.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns how long a load of `weights` that starts now would take, or `None` if the
    /// store does not have the weights yet.
    ///
    /// # Errors
    /// [`PlatformError::RateLimited`] if no further load may start now.
    async fn estimate_load(&self, weights: &WeightId) -> Result<Option<Duration>, PlatformError>;
}
