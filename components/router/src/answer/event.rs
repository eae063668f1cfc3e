//! Events of an answer.

use bytes::Bytes;
use errors::Error;

use super::{AnswerEnd, AnswerHead};

/// Event of an answer, as a reader receives it. `End` and `Failed` are the last ones.
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
