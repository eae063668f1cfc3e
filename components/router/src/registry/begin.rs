//! Input and result of [`RequestRegistry::begin`](super::RequestRegistry::begin).

use std::sync::Arc;

use types::{RequestKey, Timestamp};
use utils::Digest;

use crate::answer::AnswerLog;

/// A request to be started or joined.
#[derive(Debug, Clone)]
pub struct BeginRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of its content; all retries of a request have the same one.
    pub fingerprint: Digest,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Deadline of the request.
    pub deadline: Timestamp,
}

/// What the caller of [`RequestRegistry::begin`](super::RequestRegistry::begin) must do.
#[derive(Debug)]
pub enum Begin {
    /// Run the request and write its answer to this log.
    Run(Arc<AnswerLog>),
    /// Read the answer from this log; another attempt runs or has run the request.
    Join(Arc<AnswerLog>),
}
