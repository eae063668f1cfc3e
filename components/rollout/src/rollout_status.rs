//! Status of rollouts, shown to operators.

use types::EndpointName;

use crate::{Halt, ModelTarget};

/// Status of all rollouts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Progress of each desired version.
    pub progress: Vec<RolloutProgress>,
    /// Halted rollouts.
    pub halts: Vec<Halt>,
    /// Versions that an operator must unload manually.
    pub leftovers: Vec<Leftover>,
}

/// Progress of one desired version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Desired version.
    pub target: ModelTarget,
    /// Number of endpoints that serve it.
    pub ready: usize,
    /// Number of endpoints that should serve it.
    pub total: usize,
}

/// A version that the configuration no longer permits on an endpoint. The endpoint gets no
/// order to unload it because it does not check fencing numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leftover {
    /// Endpoint that has the version loaded.
    pub endpoint: EndpointName,
    /// Version to unload manually.
    pub target: ModelTarget,
}
