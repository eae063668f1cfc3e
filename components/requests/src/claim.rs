//! Claims: before a router runs a request, it asks the home router of the request id for
//! permission.

use types::RequestKey;
use utils::Digest;

use crate::Attempt;

/// Asks the home router for permission to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of the request's content.
    pub fingerprint: Digest,
    /// Attempt that will run the request if the claim is granted.
    pub attempt: Attempt,
    /// Earlier attempt whose answer the claiming router could not get.
    pub given_up: Option<Attempt>,
}

/// Answer of the home router to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claiming router may run the request.
    Granted {
        /// Whether it is certain that no earlier attempt of the request was sent.
        is_first: bool,
    },
    /// This attempt runs the request or has its answer.
    RunsAt(Attempt),
    /// The router that ran the request is gone, but the object store has the answer.
    Kept {
        /// Attempt that the answer belongs to.
        attempt: Attempt,
        /// Key of the answer in the object store.
        object: String,
    },
    /// The request id was already used with other content.
    Reused,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndState {
    /// The answer is complete and kept.
    Kept {
        /// Key of the answer in the object store, once it is stored there.
        object: Option<String>,
    },
    /// Nothing was sent to an endpoint.
    NotRun,
    /// The request may have been sent to an endpoint.
    MayHaveRun,
    /// The claim is void, because the request id belongs to other content.
    IdReused,
}

/// What a router reports about one request id to its new home router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandoverEntry {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of the request's content.
    pub fingerprint: Digest,
    /// Attempt that runs the request or has its answer, if any.
    pub attempt: Option<Attempt>,
    /// Key of the answer in the object store, once it is stored there.
    pub object: Option<String>,
    /// Whether an earlier attempt may have been sent.
    pub has_earlier: bool,
}
