//! The rate-limited store of model weights.

use std::time::Duration;

use async_trait::async_trait;
use serde::{Deserialize, Serialize};
use types::{AdapterName, ModelName, ModelVersion};

use crate::PlatformError;

/// One set of weights.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct WeightId {
    /// Model.
    pub model: ModelName,
    /// Version of the model, or of the adapter where there is one.
    pub version: ModelVersion,
    /// Adapter, where the weights are those of an adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
}

/// The platform's store of model weights, from which engines load.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Returns how long a load of `weights` that starts now would take, or `None`
    /// where the store has no such weights yet.
    ///
    /// # Errors
    /// [`PlatformError::RateLimited`] where no further load may start now.
    async fn estimate_load(&self, weights: &WeightId) -> Result<Option<Duration>, PlatformError>;
}
