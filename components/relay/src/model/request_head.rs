//! The head of a caller's request.

use std::{sync::Arc, time::Duration};

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part; equal parts of different prompts have the same.
    pub id: u64,
    /// Length, in tokens.
    pub tokens: u64,
}

/// Tokens that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenDemand {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub max_output: u64,
}

impl TokenDemand {
    /// Returns the most tokens that the request may use.
    pub fn total(&self) -> u64 {
        self.prompt.saturating_add(self.max_output)
    }
}

/// What a caller's request says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request; a caller's retry has another one.
    pub id: Arc<str>,
    /// Host that the caller names, without a port.
    pub host: Arc<str>,
    /// Key of the client account.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub caller_timeout: Option<Duration>,
    /// Declared tokens, for model engines.
    pub tokens: Option<TokenDemand>,
    /// Parts of the prompt in their order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Id of the last event that the caller has, where it resumes a stream.
    pub last_event: Option<u64>,
}
