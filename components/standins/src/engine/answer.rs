//! Answers of the engine. The prompt and the token limit determine them, so that checks can
//! recognize the complete answer to a given request.

use engine_api::ChatMessage;
use utils::stable_hash;

/// Prompt text that crashes the engine that processes it.
const POISON_MARK: &str = "[poison]";

/// Prompt text that sets the answer's length in tokens when followed by a number and `]`.
const LENGTH_MARK: &str = "[tokens=";

/// Bytes of prompt text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens in a prompt, at least 1.
pub fn prompt_tokens(messages: &[ChatMessage]) -> u64 {
    let bytes: usize = messages.iter().map(|message| text_of(message).len()).sum();
    (bytes.div_ceil(BYTES_PER_TOKEN)).max(1) as u64
}

/// Reports whether the prompt crashes the engine that processes it.
pub fn is_poison(messages: &[ChatMessage]) -> bool {
    messages.iter().any(|message| text_of(message).contains(POISON_MARK))
}

/// Returns the number of tokens in the complete answer, between 1 and `max_tokens`.
pub fn expected_tokens(messages: &[ChatMessage], max_tokens: u64) -> u64 {
    let wanted = length_mark(messages).unwrap_or_else(|| {
        let percent = 20 + prompt_hash(messages) % 60;
        max_tokens.saturating_mul(percent) / 100
    });
    wanted.clamp(1, max_tokens.max(1))
}

/// Returns the text of token `index` of the answer.
pub fn token_text(messages: &[ChatMessage], index: u64) -> String {
    let hash = stable_hash(&[&prompt_hash(messages).to_le_bytes(), &index.to_le_bytes()]);
    format!("{:04x} ", hash & 0xffff)
}

/// Returns the text of the complete answer.
pub fn expected_answer(messages: &[ChatMessage], max_tokens: u64) -> String {
    let tokens = expected_tokens(messages, max_tokens);
    (0..tokens).map(|index| token_text(messages, index)).collect()
}

fn prompt_hash(messages: &[ChatMessage]) -> u64 {
    let texts: Vec<String> = messages.iter().map(text_of).collect();
    let parts: Vec<&[u8]> = texts.iter().map(|text| text.as_bytes()).collect();
    stable_hash(&parts)
}

fn length_mark(messages: &[ChatMessage]) -> Option<u64> {
    let text = text_of(messages.last()?);
    let (_, rest) = text.split_once(LENGTH_MARK)?;
    let (number, _) = rest.split_once(']')?;
    number.parse().ok()
}

fn text_of(message: &ChatMessage) -> String {
    match message.content.as_str() {
        Some(text) => text.to_owned(),
        None => message.content.to_string(),
    }
}

#[cfg(test)]
#[path = "answer_tests.rs"]
mod tests;
