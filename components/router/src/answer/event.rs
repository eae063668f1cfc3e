//! Events of an answer.

use bytes::Bytes;
use errors::Error;

use super::{AnswerEnd, AnswerHead};

/// What a reader of an answer sees next. After `End` or `Failed` there is nothing more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerEvent {
    /// The answer begins.
    Head(AnswerHead),
    /// A part of the body: for chat UTF-8 text of one or more tokens, else bytes.
    Part(Bytes),
    /// The answer is whole and billed.
    End(AnswerEnd),
    /// The answer is not whole and will not be.
    Failed(Error),
}
