//! Models.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use types::{AdapterName, EndpointName, ModelVersion};

/// A model and the endpoints that may load it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Model {
    /// Versions that may be loaded.
    pub versions: BTreeSet<ModelVersion>,
    /// Adapters that may be loaded in addition to the model.
    pub adapters: BTreeSet<AdapterName>,
    /// Endpoints that may load it.
    pub endpoints: BTreeSet<EndpointName>,
    /// Maximum length of prompt and output together, in tokens.
    pub context_tokens: u64,
}
