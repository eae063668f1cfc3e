//! Conversion between answers and their stored form.

use bytes::Bytes;
use engine_api::Usage;
use requests::{AnswerBody, StoredAnswer};

use crate::answer::{AnswerEnd, AnswerHead, AnswerLog, KeptAnswer};

/// Converts a complete answer to the form in which it is stored.
pub(super) fn stored_answer(answer: &KeptAnswer) -> StoredAnswer {
    StoredAnswer {
        status: answer.head.status,
        content_type: answer.head.content_type.clone(),
        body: AnswerBody::from_bytes(&answer.body),
        finish_reason: answer.end.finish_reason.clone(),
        prompt_tokens: answer.end.usage.prompt_tokens,
        completion_tokens: answer.end.usage.completion_tokens,
    }
}

/// Writes a stored answer to `log` and returns the length of its body in bytes.
pub(super) fn write_stored(answer: &StoredAnswer, log: &AnswerLog) -> usize {
    let body = answer.body.as_bytes();
    log.start(AnswerHead { status: answer.status, content_type: answer.content_type.clone() });
    log.push(Bytes::copy_from_slice(body));
    let usage = Usage::new(answer.prompt_tokens, answer.completion_tokens);
    log.finish(AnswerEnd { finish_reason: answer.finish_reason.clone(), usage });
    body.len()
}

/// Counts a call that joined an earlier or running attempt; `source` says where its answer
/// was found.
pub(super) fn count_joined(source: &'static str) {
    metrics::counter!(telemetry::JOINED_REQUESTS_TOTAL, "source" => source).increment(1);
}
