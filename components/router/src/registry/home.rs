//! Reply of the home router to the claim of a request that is to run on this router.

/// Reply of the home router to the claim of a request that is to run on this router, or its
/// absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HomeReply {
    /// The home router granted the run.
    Granted {
        /// Whether no earlier attempt with the id can have been sent.
        is_first: bool,
    },
    /// The home router did not answer.
    Unreachable,
}
