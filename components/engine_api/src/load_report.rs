//! Load reports of engines.

use serde::{Deserialize, Serialize};
use types::{AdapterName, ModelName, ModelVersion};

/// Load of an engine at the time of the report, which may be out of date.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests in the current batch.
    pub running: u32,
    /// Number of requests that wait for a place in the batch.
    pub waiting: u32,
    /// Maximum number of requests in a batch.
    pub max_batch: u32,
    /// Number of prompt tokens still to be processed.
    pub pending_prompt_tokens: u64,
    /// Duration of the last step, in microseconds.
    pub step_us: u64,
    /// Whether the engine is about to leave the fleet.
    pub leaving: bool,
    /// Models that are loaded, are being loaded or failed to load.
    pub models: Vec<LoadedModel>,
}

/// Model that is loaded, is being loaded or failed to load on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: ModelName,
    /// Version of the model.
    pub version: ModelVersion,
    /// Adapters loaded for this version of the model.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// State of loading it.
    pub state: LoadState,
}

/// State of loading a model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// The weights are being loaded.
    Loading,
    /// The model serves requests.
    Ready,
    /// The weights could not be loaded.
    Failed,
}
