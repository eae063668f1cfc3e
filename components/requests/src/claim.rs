//! Claims: a router asks the home router of an id whether it may run the request.

use types::RequestKey;
use utils::Digest;

use crate::Attempt;

/// A router's wish to run a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of its content.
    pub fingerprint: Digest,
    /// Attempt that is to run it.
    pub attempt: Attempt,
    /// Attempt whose answer the router could not get.
    pub given_up: Option<Attempt>,
}

/// What the home router says to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// The claiming router runs the request.
    Granted {
        /// Whether no earlier attempt of the id can have been sent.
        is_first: bool,
    },
    /// This attempt runs the request or keeps its answer.
    RunsAt(Attempt),
    /// The router that ran the request is gone; the answer is in the object store.
    Kept {
        /// Attempt that the answer belongs to.
        attempt: Attempt,
        /// Key of the object.
        object: String,
    },
    /// The id was used with other content.
    Reused,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndState {
    /// The answer is whole and kept.
    Kept {
        /// Object that holds it, once it is stored.
        object: Option<String>,
    },
    /// Nothing was sent.
    NotRun,
    /// Something may have been sent.
    MayHaveRun,
    /// The claim was void: the id belongs to other content.
    Forgotten,
}

/// What a router tells a new home router of one id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HandoverEntry {
    /// Key of the request.
    pub key: RequestKey,
    /// Digest of its content.
    pub fingerprint: Digest,
    /// Attempt that runs it or keeps its answer, if one does.
    pub attempt: Option<Attempt>,
    /// Object that holds the answer, once it is stored.
    pub object: Option<String>,
    /// Whether an earlier attempt may have been sent.
    pub has_earlier: bool,
}
