//! Requests of the simulated callers.

use std::time::Duration;

use routing::{EndpointNeed, Target};
use types::{AccountName, Priority, Timestamp};
use utils::Digest;

use super::deployment::{model_name, version};

/// A request of a caller, from its first attempt until it has ended.
#[derive(Debug)]
pub(super) struct Request {
    /// Index of the router that the caller uses.
    pub(super) router: usize,
    /// What the request needs from an endpoint.
    pub(super) need: EndpointNeed,
    /// Tokens of the whole answer.
    pub(super) output_tokens: u64,
    /// Whether its content crashes engines.
    pub(super) is_poison: bool,
    /// Time at which the caller first sent it.
    pub(super) sent_at: Timestamp,
    /// Tokens of the answer received so far.
    pub(super) received: u64,
    /// Time at which the first token arrived.
    pub(super) first_token_at: Option<Timestamp>,
    /// Time at which the latest token arrived.
    pub(super) last_token_at: Option<Timestamp>,
    /// Number of attempts of the caller so far.
    pub(super) attempt: u32,
    /// State of the request.
    pub(super) state: RequestState,
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RequestState {
    /// With the caller, or on the way to the router.
    WithCaller,
    /// In the queue of the router.
    Queued(routing::WaiterId),
    /// Sent to an engine. Holds the job ID.
    Running(u64),
    /// Ended.
    Ended,
}

/// Properties with which a request is created.
#[derive(Debug, Clone)]
pub(super) struct RequestSpec {
    /// Time at which the caller first sends it.
    pub(super) sent_at: Timestamp,
    /// Index of the router that the caller uses.
    pub(super) router: usize,
    /// Index of the client account.
    pub(super) account: usize,
    /// Priority.
    pub(super) priority: Priority,
    /// Hashes of the prompt's blocks.
    pub(super) blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub(super) prompt_tokens: u64,
    /// Tokens of the whole answer.
    pub(super) output_tokens: u64,
    /// Whether its content crashes engines.
    pub(super) is_poison: bool,
}

/// Returns the time after which a caller's attempt times out.
pub(super) fn attempt_timeout(priority: Priority) -> Duration {
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
            account: AccountName::new(&format!("account-{}", spec.account)).expect("a valid name"),
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
            state: RequestState::WithCaller,
        }
    }
}
