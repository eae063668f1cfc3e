//! Outcomes of attempts.

/// Outcome of an attempt, as reported to the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The whole answer arrived.
    Completed,
    /// The connection could not be established; nothing was sent.
    NotSent,
    /// The endpoint refused the request before running it: it is leaving, overloaded, or
    /// does not have the model.
    Refused,
    /// The endpoint rejected the request as invalid; other endpoints would reject it too.
    Rejected,
    /// The connection broke before the whole answer arrived.
    Lost,
    /// No answer arrived in time.
    TimedOut,
    /// The attempt was ended by the caller or by its deadline.
    Cancelled,
}

impl AttemptOutcome {
    /// Returns the value of the metric labels that hold an attempt's outcome.
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
