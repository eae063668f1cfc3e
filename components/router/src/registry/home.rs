//! What the home router says.

/// What the home router said to a request that is to run here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Home {
    /// It granted the run.
    Granted {
        /// Whether no earlier attempt can have been sent.
        is_first: bool,
    },
    /// It did not answer.
    OutOfReach,
}
