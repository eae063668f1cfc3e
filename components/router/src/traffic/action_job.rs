//! Accepted calls of actions.

use bytes::Bytes;
use config::{Account, Action};
use types::{RequestKey, Timestamp};
use utils::Digest;

use crate::dispatch::{EndpointNeed, Target};

/// Accepted call of an action: all that is needed to run it.
#[derive(Debug, Clone)]
pub(crate) struct ActionJob {
    /// Key of the request.
    pub(crate) key: RequestKey,
    /// Digest of the request's content.
    pub(crate) fingerprint: Digest,
    /// Configuration of the action.
    pub(crate) action: Action,
    /// Configuration of the client account that pays.
    pub(crate) account: Account,
    /// Content type of the body.
    pub(crate) content_type: String,
    /// Body of the request, passed on to the endpoint.
    pub(crate) body: Bytes,
    /// Time by which the request must have ended.
    pub(crate) deadline: Timestamp,
}

impl ActionJob {
    /// Returns what an endpoint must provide to run the action.
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
