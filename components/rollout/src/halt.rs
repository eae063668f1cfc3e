//! Halted rollouts.

use std::fmt;

use types::EndpointName;

use crate::ModelTarget;

/// Reason for halting a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum HaltReason {
    /// The endpoint reported that the load failed.
    LoadFailed,
    /// The load takes longer than [`LOAD_TIMEOUT`](crate::LOAD_TIMEOUT).
    LoadTimedOut,
    /// The endpoint refused the load, and no other version of the model on it may be
    /// unloaded to make room.
    NoRoom,
    /// The weight store has no such weights.
    NoWeights,
}

/// A halted rollout. No further endpoint loads the version.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Halt {
    /// Version whose rollout is halted.
    pub target: ModelTarget,
    /// Endpoint that caused the halt.
    pub endpoint: EndpointName,
    /// Reason for the halt.
    pub reason: HaltReason,
}

impl fmt::Display for Halt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Halt { target: ModelTarget { model, version }, endpoint, reason } = self;
        let reason = match reason {
            HaltReason::LoadFailed => "the load failed",
            HaltReason::LoadTimedOut => "the load takes too long",
            HaltReason::NoRoom => "there is no room",
            HaltReason::NoWeights => "the weight store has no weights to load",
        };
        write!(f, "rollout of {model} {version} is halted: {reason} on endpoint {endpoint}")
    }
}
