//! Requirements of a request on its endpoint.

use types::{
    AccountName, AdapterName, EndpointName, ModelName, ModelVersion, Priority, ServiceName,
    Timestamp,
};
use utils::Digest;

/// Requirements of a request on its endpoint, and what the scheduler has to know about the
/// request.
#[derive(Debug, Clone)]
pub struct EndpointNeed {
    /// Model or service that must serve the request.
    pub target: Target,
    /// Client account, for fair queueing.
    pub account: AccountName,
    /// Weight of the account in fair queueing, relative to others; at least 1.
    pub weight: u32,
    /// Priority in the queue and on the endpoints.
    pub priority: Priority,
    /// Hashes of the prompt's blocks, for prefix affinity.
    pub blocks: Vec<u64>,
    /// Estimated length of the prompt in tokens.
    pub prompt_tokens: u64,
    /// Maximum length of the answer in tokens.
    pub max_output_tokens: u64,
    /// Time by which the request must be complete.
    pub deadline: Timestamp,
    /// Endpoints not to use because attempts of the request failed there, oldest first.
    pub avoid: Vec<EndpointName>,
    /// Digest of the content, for the quarantine.
    pub fingerprint: Digest,
}

/// Model or service that a request is for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// A model.
    Model {
        /// Name of the model.
        model: ModelName,
        /// Acceptable versions, in order of preference.
        versions: Vec<ModelVersion>,
        /// Adapter that must be loaded with the model, if any.
        adapter: Option<AdapterName>,
    },
    /// A service that is not a model.
    Service(ServiceName),
}

impl Target {
    /// Limits the acceptable versions to that which has begun the answer: what two versions write
    /// does not fit together.
    pub fn keep_version(&mut self, version: &ModelVersion) {
        if let Target::Model { versions, .. } = self {
            versions.retain(|it| it == version);
        }
    }
}
