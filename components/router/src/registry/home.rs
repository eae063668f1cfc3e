//! Reply of the home router to a claim that may lead to a run on this router.

/// Reply of the home router to a claim after which this router may run the request, or the lack
/// of a reply.
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
