//! Actions that are to run.

use bytes::Bytes;
use config::{Account, Action};
use types::{RequestKey, Timestamp};
use utils::Digest;

use crate::dispatch::{EndpointNeed, Target};

/// An action that is to run.
#[derive(Debug, Clone)]
pub(crate) struct ActionJob {
    /// Key of the request.
    pub(crate) key: RequestKey,
    /// Digest of its content.
    pub(crate) fingerprint: Digest,
    /// The action.
    pub(crate) action: Action,
    /// Client account.
    pub(crate) account: Account,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// Body.
    pub(crate) body: Bytes,
    /// Deadline.
    pub(crate) deadline: Timestamp,
}

impl ActionJob {
    /// Returns what the action needs of an endpoint.
    pub(crate) fn endpoint_need(&self) -> EndpointNeed {
        EndpointNeed {
            target: Target::Service(self.action.service.clone()),
            account: self.key.account.clone(),
            weight: self.account.weight.max(1),
            priority: self.action.priority,
            blocks: Vec::new(),
            prompt_tokens: 0,
            max_output_tokens: 0,
            deadline: self.deadline,
            avoid: Vec::new(),
            fingerprint: self.fingerprint,
        }
    }
}
