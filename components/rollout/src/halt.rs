//! Halted rollouts.

use std::fmt;

use types::EndpointName;

use crate::ModelTarget;

/// Why a rollout is halted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HaltReason {
    /// The endpoint reports that the load failed.
    LoadFailed,
    /// The endpoint has been loading for too long.
    LoadTimedOut,
    /// The endpoint refused the load, and no room can be made on it.
    NoRoom,
    /// The weight store has no such weights.
    NoWeights,
}

/// A rollout that is halted: no further endpoint loads the version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Halt {
    /// Version.
    pub target: ModelTarget,
    /// Endpoint on which it was seen.
    pub endpoint: EndpointName,
    /// Reason.
    pub reason: HaltReason,
}

impl fmt::Display for Halt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Halt { target: ModelTarget { model, version }, endpoint, reason } = self;
        let reason = match reason {
            HaltReason::LoadFailed => "the load failed",
            HaltReason::LoadTimedOut => "the load takes too long",
            HaltReason::NoRoom => "the endpoint has no room",
            HaltReason::NoWeights => "the weight store has no such weights",
        };
        write!(f, "{model} {version} is halted: {reason} on endpoint {endpoint}")
    }
}
