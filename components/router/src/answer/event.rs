//! Events of an answer.

use bytes::Bytes;
use errors::Error;

use super::{AnswerEnd, AnswerHead};

/// Event of an answer, as a reader receives it. The last one is `End` or `Failed`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// Start of the answer.
    Head(AnswerHead),
    /// Part of the body: for chat, UTF-8 text of one or more tokens; otherwise raw bytes.
    Part(Bytes),
    /// The answer is complete and billed.
    End(AnswerEnd),
    /// The answer failed and stays incomplete.
    Failed(Error),
}
