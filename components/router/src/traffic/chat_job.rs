//! Chat requests that are to run.

use config::{Account, ModelAccess};
use engine_api::{ChatRequest, prompt_blocks, prompt_tokens_bound};
use types::{RequestKey, Timestamp, Tokens};
use utils::Digest;

use crate::dispatch::{EndpointNeed, Target};

/// A chat request that is to run.
#[derive(Debug, Clone)]
pub(crate) struct ChatJob {
    /// Key of the request.
    pub(crate) key: RequestKey,
    /// Digest of its content.
    pub(crate) fingerprint: Digest,
    /// The request as the caller sent it.
    pub(crate) req: ChatRequest,
    /// Most tokens of the answer.
    pub(crate) max_tokens: u64,
    /// Client account.
    pub(crate) account: Account,
    /// What serves the request.
    pub(crate) access: ModelAccess,
    /// Deadline.
    pub(crate) deadline: Timestamp,
}

impl ChatJob {
    /// Returns the request's id for engines. It holds the fingerprint, so that an engine
    /// never takes the stream of other content under the same id for this one.
    pub(crate) fn engine_request_id(&self) -> String {
        format!("{}/{}", self.key, self.fingerprint)
    }

    /// Returns the most tokens that the request can be billed.
    pub(crate) fn worst_case(&self) -> Tokens {
        Tokens(prompt_tokens_bound(&self.req.messages).saturating_add(self.max_tokens))
    }

    /// Returns what the request needs of an endpoint.
    pub(crate) fn endpoint_need(&self) -> EndpointNeed {
        EndpointNeed {
            target: Target::Model {
                model: self.access.model.clone(),
                versions: self.access.versions.clone(),
                adapter: self.access.adapter.clone(),
            },
            account: self.key.account.clone(),
            weight: self.account.weight.max(1),
            priority: self.access.priority,
            blocks: prompt_blocks(&self.req.messages),
            prompt_tokens: prompt_tokens_bound(&self.req.messages) / 4,
            max_output_tokens: self.max_tokens,
            deadline: self.deadline,
            avoid: Vec::new(),
            fingerprint: self.fingerprint,
        }
    }
}
