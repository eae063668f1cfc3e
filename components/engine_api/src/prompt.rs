//! Token bounds of prompts, and the blocks in which engines cache prompt prefixes.

use utils::stable_hash;

use crate::ChatMessage;

/// Length of the prompt text in one cached block, in bytes.
pub const BLOCK_BYTES: usize = 256;

/// Maximum number of tokens that each message has in addition to those of its content.
const TOKENS_PER_MESSAGE: u64 = 8;

/// Returns an upper bound for the number of tokens of a prompt.
///
/// Each token represents at least one byte of text. The bound therefore needs no tokenizer
/// and holds for every model.
pub fn prompt_tokens_bound(messages: &[ChatMessage]) -> u64 {
    messages.iter().map(|message| TOKENS_PER_MESSAGE + content_bytes(message)).sum()
}

/// Returns a hash for each complete block of the prompt. Each hash covers the prompt from its
/// start: two prompts that have the same first `n` blocks have the same first `n` hashes.
pub fn prompt_blocks(messages: &[ChatMessage]) -> Vec<u64> {
    let mut text = Vec::new();
    for message in messages {
        text.extend_from_slice(message.role.as_bytes());
        text.push(0);
        text.extend_from_slice(content_text(message).as_bytes());
        text.push(0);
    }
    let mut previous = 0;
    text.chunks_exact(BLOCK_BYTES)
        .map(|block| {
            previous = stable_hash(&[&u64::to_le_bytes(previous), block]);
            previous
        })
        .collect()
}

fn content_bytes(message: &ChatMessage) -> u64 {
    content_text(message).len() as u64
}

fn content_text(message: &ChatMessage) -> std::borrow::Cow<'_, str> {
    match message.content.as_str() {
        Some(text) => text.into(),
        None => message.content.to_string().into(),
    }
}

#[cfg(test)]
#[path = "prompt_tests.rs"]
mod tests;
