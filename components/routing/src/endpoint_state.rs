//! States of endpoints.

/// State of an endpoint, as used by endpoint selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum EndpointState {
    /// It accepts new requests.
    Serving,
    /// It refused a request or failed recently. After a failure it gets requests only if no
    /// other endpoint has capacity, after a refusal none for a while.
    Suspect,
    /// It failed several times in a row and gets no requests until a probe succeeds.
    Ejected,
    /// It is leaving according to its report, the host list or the configuration, or is no
    /// longer configured; it gets no new requests.
    Leaving,
}

impl EndpointState {
    /// Returns the value of the metric label `state`.
    pub fn label(self) -> &'static str {
        match self {
            EndpointState::Serving => "serving",
            EndpointState::Suspect => "suspect",
            EndpointState::Ejected => "ejected",
            EndpointState::Leaving => "leaving",
        }
    }
}
