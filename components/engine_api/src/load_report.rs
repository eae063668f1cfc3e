//! Load reports of engines.

use serde::{Deserialize, Serialize};
use types::{AdapterName, ModelName, ModelVersion};

/// Load of an engine as it reports it, some time ago.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in the present batch.
    pub running: u32,
    /// Requests that wait for a place in the batch.
    pub waiting: u32,
    /// Largest batch.
    pub max_batch: u32,
    /// Prompt tokens that are still to be processed.
    pub pending_prompt_tokens: u64,
    /// Time of the last step, in microseconds.
    pub step_us: u64,
    /// Whether the engine is about to leave.
    pub leaving: bool,
    /// Models that are loaded or being loaded.
    pub models: Vec<LoadedModel>,
}

/// A model on an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: ModelVersion,
    /// Adapters that are loaded beside it.
    #[serde(default)]
    pub adapters: Vec<AdapterName>,
    /// How far the load is.
    pub state: LoadState,
}

/// How far a load is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Weights are being loaded.
    Loading,
    /// Requests are served.
    Ready,
    /// The load failed.
    Failed,
}
