//! What a request needs of an endpoint.

use types::{
    AccountName, AdapterName, EndpointName, ModelName, ModelVersion, Priority, ServiceName,
    Timestamp,
};
use utils::Digest;

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub struct EndpointNeed {
    /// Model or service.
    pub target: Target,
    /// Client account, for fairness.
    pub account: AccountName,
    /// Share of the account relative to others; at least 1.
    pub weight: u32,
    /// How urgent the request is.
    pub priority: Priority,
    /// Hashes of the prompt's blocks, for prefix affinity.
    pub blocks: Vec<u64>,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Deadline.
    pub deadline: Timestamp,
    /// Endpoints on which attempts of the request failed, oldest first.
    pub avoid: Vec<EndpointName>,
    /// Digest of the content, for the quarantine.
    pub fingerprint: Digest,
}

/// What serves a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Target {
    /// A model.
    Model {
        /// Model.
        model: ModelName,
        /// Versions that may serve, preferred first.
        versions: Vec<ModelVersion>,
        /// Adapter, if any.
        adapter: Option<AdapterName>,
    },
    /// A plain service.
    Service(ServiceName),
}
