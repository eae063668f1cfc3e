//! Outcomes of attempts.

/// How an attempt ended, as the choice of endpoints sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Completed,
    /// The connection was not made; nothing was sent.
    NotSent,
    /// The endpoint refused the request before it ran: it is leaving, overloaded, or
    /// lacks the model.
    Refused,
    /// The endpoint refused the request as invalid; no other would take it.
    Rejected,
    /// The connection broke before the whole answer arrived.
    Lost,
    /// No answer arrived in time.
    TimedOut,
    /// The caller or the deadline ended the attempt.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns the label of the retry counter.
    pub fn label(self) -> &'static str {
        match self {
            AttemptOutcome::Completed => "completed",
            AttemptOutcome::NotSent => "not_sent",
            AttemptOutcome::Refused => "refused",
            AttemptOutcome::Rejected => "rejected",
            AttemptOutcome::Lost => "lost",
            AttemptOutcome::TimedOut => "timed_out",
            AttemptOutcome::Cancelled => "cancelled",
        }
    }
}
