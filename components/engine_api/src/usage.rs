//! Tokens that a request used.

use serde::{Deserialize, Serialize};
use types::Tokens;

/// Tokens that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
    /// Sum of both.
    pub total_tokens: u64,
}

impl Usage {
    /// Creates the usage of a prompt and an answer.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Usage {
        let total_tokens = prompt_tokens.saturating_add(completion_tokens);
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }

    /// Returns the tokens to bill: those of the parts, whatever sum the engine wrote.
    pub fn billed_tokens(&self) -> Tokens {
        Tokens(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}
