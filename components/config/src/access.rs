//! Access of a client account to a model.

use serde::{Deserialize, Serialize};
use types::{AdapterName, ModelName, ModelVersion, Priority};

/// The model, versions and adapter that serve requests of an account under one model name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelAccess {
    /// Model that serves the requests.
    pub model: ModelName,
    /// Versions that may serve them, in order of preference. Not empty.
    pub versions: Vec<ModelVersion>,
    /// Adapter to use, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Priority of the requests.
    #[serde(default)]
    pub priority: Priority,
}
