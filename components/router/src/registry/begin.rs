//! Begins of requests.

use std::sync::Arc;

use types::{RequestKey, Timestamp};
use utils::Digest;

use crate::answer::AnswerLog;

/// A request that begins.
#[derive(Debug, Clone)]
pub struct BeginRequest {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of its content, which all retries share.
    pub fingerprint: Digest,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Deadline.
    pub deadline: Timestamp,
}

/// What is to be done with a request that begins.
#[derive(Debug)]
pub enum Begin {
    /// Run it and write its answer here.
    Run(Arc<AnswerLog>),
    /// It runs or has run already; its answer is here.
    Join(Arc<AnswerLog>),
}
