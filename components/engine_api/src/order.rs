//! Orders of the controller to engines.

use serde::{Deserialize, Serialize};
use types::{AdapterName, FencingNumber, ModelName, ModelVersion};

/// Order to an engine, sent by the holder of the controller lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is sent.
    pub fencing: FencingNumber,
    /// What the engine must do.
    pub kind: OrderKind,
}

/// What an engine must do. Orders of all kinds are idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Loads a version of a model.
    Load {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: ModelVersion,
    },
    /// Unloads a version of a model once its requests have ended.
    Unload {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: ModelVersion,
    },
    /// Loads an adapter for a version of a model.
    LoadAdapter {
        /// Name of the model.
        model: ModelName,
        /// Version of the model.
        version: ModelVersion,
        /// Name of the adapter.
        adapter: AdapterName,
    },
    /// Sets whether the engine runs prefill, decode or both.
    SetRole {
        /// Whether the engine processes prompts.
        prefill: bool,
        /// Whether the engine generates outputs.
        decode: bool,
    },
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order because it has seen this higher fencing number.
    Fenced(FencingNumber),
    /// The engine cannot perform the order because the weights do not exist or do not fit.
    Refused,
}
