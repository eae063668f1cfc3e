//! Requests of the simulated callers.

use std::time::Duration;

use routing::{EndpointNeed, Target};
use types::{AccountName, Priority, Timestamp};
use utils::Digest;

use super::deployment::{model_name, version};

/// A request of a caller, from its first attempt until it is served.
#[derive(Debug)]
pub(super) struct Request {
    /// Router that the caller uses.
    pub(super) router: usize,
    /// What it needs of an endpoint.
    pub(super) need: EndpointNeed,
    /// Tokens of the whole answer.
    pub(super) output_tokens: u64,
    /// Whether its content crashes engines.
    pub(super) is_poison: bool,
    /// When the caller first sent it.
    pub(super) sent_at: Timestamp,
    /// Tokens of the answer that have arrived.
    pub(super) received: u64,
    /// When the first token arrived.
    pub(super) first_token_at: Option<Timestamp>,
    /// When the last token arrived.
    pub(super) last_token_at: Option<Timestamp>,
    /// Attempts of the caller so far.
    pub(super) attempt: u32,
    /// Where it is.
    pub(super) place: Place,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Place {
    /// With the caller or on the way.
    Caller,
    /// In the router's queue.
    Queue(routing::WaiterId),
    /// On an engine, as this job.
    Engine(u64),
    /// Ended.
    Ended,
}

/// What a request is made of.
#[derive(Debug, Clone)]
pub(super) struct RequestSpec {
    /// When the caller first sends it.
    pub(super) sent_at: Timestamp,
    /// Router that the caller uses.
    pub(super) router: usize,
    /// Client account.
    pub(super) account: usize,
    /// Priority.
    pub(super) priority: Priority,
    /// Blocks of the prompt.
    pub(super) blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub(super) output_tokens: u64,
    /// Whether its content crashes engines.
    pub(super) is_poison: bool,
}

/// Returns the time that a caller gives an attempt.
pub(super) fn patience(priority: Priority) -> Duration {
    match priority {
        Priority::Urgent => Duration::from_secs(4),
        Priority::Normal => Duration::from_secs(8),
        Priority::Bulk => Duration::from_secs(20),
    }
}

impl Request {
    pub(super) fn new(spec: &RequestSpec) -> Request {
        let content: Vec<u8> = spec.blocks.iter().flat_map(|block| block.to_le_bytes()).collect();
        let (model, versions) = (model_name(), vec![version()]);
        let need = EndpointNeed {
            target: Target::Model { model, versions, adapter: None },
            account: AccountName::new(&format!("account-{}", spec.account)).expect("a name"),
            weight: 1,
            priority: spec.priority,
            blocks: spec.blocks.clone(),
            prompt_tokens: spec.prompt_tokens,
            max_output_tokens: spec.output_tokens * 2,
            deadline: Timestamp::ZERO,
            avoid: Vec::new(),
            fingerprint: Digest::from_content(&content),
        };
        Request {
            router: spec.router,
            need,
            output_tokens: spec.output_tokens,
            is_poison: spec.is_poison,
            sent_at: spec.sent_at,
            received: 0,
            first_token_at: None,
            last_token_at: None,
            attempt: 0,
            place: Place::Caller,
        }
    }
}
