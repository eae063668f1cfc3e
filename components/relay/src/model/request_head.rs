//! Fields of a caller's request, read from its head.

use std::{sync::Arc, time::Duration};

/// A part of a prompt that endpoints cache as a unit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; equal parts of different prompts have the same id.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u64,
}

/// Declared token use of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenDemand {
    /// Number of prompt tokens.
    pub prompt: u64,
    /// Maximum number of tokens in the answer.
    pub max_output: u64,
}

impl TokenDemand {
    /// Returns the maximum number of tokens that the request may use.
    pub fn total(&self) -> u64 {
        self.prompt.saturating_add(self.max_output)
    }
}

/// Fields of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request; a retry by the caller has a new one.
    pub id: Arc<str>,
    /// Host that the request is addressed to, without the port.
    pub host: Arc<str>,
    /// API key of the client account.
    pub key: Option<Arc<str>>,
    /// How long the caller waits for the answer; `None` if it sets no timeout.
    pub caller_timeout: Option<Duration>,
    /// Declared tokens, for requests to model engines.
    pub tokens: Option<TokenDemand>,
    /// Parts of the prompt in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the caller's request that brought the first event of the stream, if it resumes one.
    pub resumes: Option<Arc<str>>,
}
