//! States of endpoints.

/// State of an endpoint as the choice sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// It takes new work.
    Serving,
    /// It refused or failed lately; it gets work only where no other endpoint has room.
    Suspect,
    /// It failed several times in a row; it gets no work before a probe succeeds.
    Ejected,
    /// It is about to leave; it gets no new work.
    Leaving,
}

impl EndpointState {
    /// Returns the label of the counters.
    pub fn label(self) -> &'static str {
        match self {
            EndpointState::Serving => "serving",
            EndpointState::Suspect => "suspect",
            EndpointState::Ejected => "ejected",
            EndpointState::Leaving => "leaving",
        }
    }
}
