//! The reported state of endpoints.

use engine_api::{LoadState, LoadedModel};
use types::AdapterName;

use crate::ModelTarget;

/// The last report of an endpoint. An endpoint that does not answer has none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// Models that are loaded on it, are being loaded or failed to load.
    pub models: Vec<LoadedModel>,
}

/// State of a version on one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TargetState {
    /// The endpoint does not answer.
    Unknown,
    /// The version is not loaded.
    Missing,
    /// The version is being loaded.
    Loading,
    /// The version is loaded and serves requests.
    Ready,
    /// The load failed.
    Failed,
}

impl EndpointReport {
    /// Returns the state of `target` on the endpoint.
    pub fn state_of(&self, target: &ModelTarget) -> TargetState {
        match self.find(target).map(|it| it.state) {
            None => TargetState::Missing,
            Some(LoadState::Loading) => TargetState::Loading,
            Some(LoadState::Ready) => TargetState::Ready,
            Some(LoadState::Failed) => TargetState::Failed,
        }
    }

    /// Returns whether `adapter` is loaded for `target`.
    pub fn has_adapter(&self, target: &ModelTarget, adapter: &AdapterName) -> bool {
        self.find(target).is_some_and(|it| it.adapters.contains(adapter))
    }

    fn find(&self, target: &ModelTarget) -> Option<&LoadedModel> {
        self.models.iter().find(|it| it.model == target.model && it.version == target.version)
    }
}
