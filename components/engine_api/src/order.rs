//! Orders to engines.

use serde::{Deserialize, Serialize};
use types::{AdapterName, FencingNumber, ModelName, ModelVersion};

/// An order to an engine, from the holder of the controller lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the lease under which the order is given.
    pub fencing: FencingNumber,
    /// What is to be done.
    pub kind: OrderKind,
}

/// What an engine is to do. Each is safe to repeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a version of a model.
    Load {
        /// Model.
        model: ModelName,
        /// Version.
        version: ModelVersion,
    },
    /// Unload a version of a model once its requests have ended.
    Unload {
        /// Model.
        model: ModelName,
        /// Version.
        version: ModelVersion,
    },
    /// Load an adapter beside a version of a model.
    LoadAdapter {
        /// Model.
        model: ModelName,
        /// Version of the model.
        version: ModelVersion,
        /// Adapter.
        adapter: AdapterName,
    },
    /// Serve prompts, outputs or both.
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
    /// The order was taken.
    Accepted,
    /// The engine has seen this higher fencing number.
    Fenced(FencingNumber),
    /// The engine cannot do it: no such weights, or no room.
    Refused,
}
