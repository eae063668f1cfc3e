//! Accepted chat requests.

use config::{Account, ModelAccess};
use engine_api::{ChatRequest, prompt_blocks, prompt_tokens_bound};
use types::{RequestKey, Timestamp, Tokens};
use utils::Digest;

use crate::dispatch::{EndpointNeed, Target};

/// Accepted chat request: all that is needed to run it.
#[derive(Debug, Clone)]
pub(crate) struct ChatJob {
    /// Key of the request.
    pub(crate) key: RequestKey,
    /// Digest of the request's content.
    pub(crate) fingerprint: Digest,
    /// The request as the caller sent it.
    pub(crate) req: ChatRequest,
    /// Maximum number of tokens in the answer.
    pub(crate) max_tokens: u64,
    /// Configuration of the client account that pays.
    pub(crate) account: Account,
    /// Model, versions, adapter and priority that serve the request.
    pub(crate) access: ModelAccess,
    /// Time by which the request must have ended.
    pub(crate) deadline: Timestamp,
}

impl ChatJob {
    /// Returns the id that engines get for the request. It contains the fingerprint, so that an
    /// engine never confuses it with a stream of the same id and different content.
    pub(crate) fn engine_request_id(&self) -> String {
        format!("{}/{}", self.key, self.fingerprint)
    }

    /// Returns the most tokens that can be billed for the request.
    pub(crate) fn max_billed_tokens(&self) -> Tokens {
        Tokens(prompt_tokens_bound(&self.req.messages).saturating_add(self.max_tokens))
    }

    /// Returns what an endpoint must provide to run the request.
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
            // The bound counts each byte as a token; this estimate assumes 4 bytes per token.
            prompt_tokens: prompt_tokens_bound(&self.req.messages) / 4,
            max_output_tokens: self.max_tokens,
            deadline: self.deadline,
            avoid: Vec::new(),
            fingerprint: self.fingerprint,
        }
    }
}
