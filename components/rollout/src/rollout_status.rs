//! State of rollouts, for operators.

use types::EndpointName;

use crate::{Halt, ModelTarget};

/// State of all rollouts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Progress of each wanted version.
    pub progress: Vec<RolloutProgress>,
    /// Halted rollouts.
    pub halts: Vec<Halt>,
    /// Versions that an operator has to unload by hand.
    pub leftovers: Vec<Leftover>,
}

/// Progress of one wanted version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Version.
    pub target: ModelTarget,
    /// Endpoints that serve it.
    pub ready: usize,
    /// Endpoints that are to serve it.
    pub total: usize,
}

/// A version that is no longer permitted on an endpoint that does not check fencing
/// numbers, which therefore gets no order to unload it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leftover {
    /// Endpoint.
    pub endpoint: EndpointName,
    /// Version.
    pub target: ModelTarget,
}
