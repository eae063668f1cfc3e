//! Token usage of requests.

use serde::{Deserialize, Serialize};
use types::Tokens;

/// Number of tokens that a request used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens in the answer.
    pub completion_tokens: u64,
    /// Sum of both. Not used for billing.
    pub total_tokens: u64,
}

impl Usage {
    /// Creates the usage record of a prompt and an answer with these numbers of tokens.
    pub fn new(prompt_tokens: u64, completion_tokens: u64) -> Usage {
        let total_tokens = prompt_tokens.saturating_add(completion_tokens);
        Usage { prompt_tokens, completion_tokens, total_tokens }
    }

    /// Returns the tokens to bill. Adds up the two parts and ignores the sum that the engine
    /// reported.
    pub fn billed_tokens(&self) -> Tokens {
        Tokens(self.prompt_tokens.saturating_add(self.completion_tokens))
    }
}
