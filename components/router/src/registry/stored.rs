//! Conversion of answers between the log and what is kept of it.

use bytes::Bytes;
use engine_api::Usage;
use requests::{AnswerBody, StoredAnswer};

use crate::answer::{AnswerEnd, AnswerHead, AnswerLog, KeptAnswer};

/// Returns what is kept of a whole answer.
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

/// Writes a kept answer to `log`; returns the bytes of its body.
pub(super) fn write_stored(answer: &StoredAnswer, log: &AnswerLog) -> usize {
    let body = answer.body.as_bytes();
    log.start(AnswerHead { status: answer.status, content_type: answer.content_type.clone() });
    log.push(Bytes::copy_from_slice(body));
    let usage = Usage::new(answer.prompt_tokens, answer.completion_tokens);
    log.finish(AnswerEnd { finish_reason: answer.finish_reason.clone(), usage });
    body.len()
}
