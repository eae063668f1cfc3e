//! State of one endpoint, as used by endpoint selection.

use std::net::SocketAddr;

use engine_api::{LoadState, LoadedModel};
use types::{EndpointName, FailureDomain, ModelName, ModelVersion, Timestamp};

use crate::{
    EndpointState, Target, concurrency_limit::ConcurrencyLimit, health::Health, load_view::LoadView,
};

/// Weight of a new observation in the moving average of the slowness, which is the ratio of
/// the observed to the estimated time to the first token.
const SLOWNESS_WEIGHT: f64 = 0.1;

/// Bounds of an observed slowness.
const SLOWNESS_MIN: f64 = 0.5;
const SLOWNESS_MAX: f64 = 20.0;

/// Configuration and observed state of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: EndpointName,
    pub(crate) address: SocketAddr,
    pub(crate) failure_domain: FailureDomain,
    /// Whether the current configuration contains the endpoint.
    pub(crate) is_configured: bool,
    /// Whether operators have marked it as leaving in the configuration.
    pub(crate) leaving_by_config: bool,
    /// Whether the host list says that its host is leaving.
    pub(crate) leaving_by_host: bool,
    /// Whether its last load report says that it is leaving.
    pub(crate) leaving_by_report: bool,
    /// Models in its last load report; `None` before the first report.
    pub(crate) models: Option<Vec<LoadedModel>>,
    /// Model loads in progress, with the time of the first report that showed each.
    pub(crate) loading: Vec<(ModelName, ModelVersion, Timestamp)>,
    pub(crate) load: LoadView,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) health: Health,
    /// Mean ratio of the observed to the estimated time to the first token.
    pub(crate) slowness: f64,
    /// Whether it is reserved for a request with suspected content.
    pub(crate) is_reserved: bool,
}

/// Whether an endpoint serves a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It serves the version at this index of the request's order of preference.
    Ready(usize),
    /// It has been loading an acceptable version since this time.
    Loading(Timestamp),
    /// It neither serves nor loads an acceptable version.
    Absent,
}

impl Endpoint {
    /// Creates an endpoint from its configuration, without observed state.
    pub(crate) fn new(name: EndpointName, cfg: &config::Endpoint) -> Endpoint {
        Endpoint {
            name,
            address: cfg.address,
            failure_domain: cfg.failure_domain.clone(),
            is_configured: true,
            leaving_by_config: cfg.leaving,
            leaving_by_host: false,
            leaving_by_report: false,
            models: None,
            loading: Vec::new(),
            load: LoadView::default(),
            limit: ConcurrencyLimit::default(),
            health: Health::default(),
            slowness: 1.0,
            is_reserved: false,
        }
    }

    /// Returns the state, in which leaving takes precedence over failures.
    pub(crate) fn state(&self, now: Timestamp) -> EndpointState {
        let is_leaving = self.leaving_by_config || self.leaving_by_host || self.leaving_by_report;
        if is_leaving || !self.is_configured {
            EndpointState::Leaving
        } else if self.health.is_ejected() {
            EndpointState::Ejected
        } else if self.health.is_suspect(now) || self.health.is_paused(now) {
            EndpointState::Suspect
        } else {
            EndpointState::Serving
        }
    }

    /// Reports whether the endpoint serves `target`, and with which version. Services, and
    /// engines before their first load report, count as ready.
    pub(crate) fn readiness(&self, target: &Target) -> Readiness {
        let Target::Model { model, versions, adapter } = target else {
            return Readiness::Ready(0);
        };
        let Some(models) = &self.models else { return Readiness::Ready(0) };
        let has_adapter =
            |it: &LoadedModel| adapter.as_ref().is_none_or(|a| it.adapters.contains(a));
        let is_ready = |version: &ModelVersion| {
            models.iter().any(|it| {
                it.state == LoadState::Ready
                    && it.version == *version
                    && it.model == *model
                    && has_adapter(it)
            })
        };
        if let Some(rank) = versions.iter().position(is_ready) {
            return Readiness::Ready(rank);
        }
        let is_wanted = |m: &ModelName, v: &ModelVersion| m == model && versions.contains(v);
        match self.loading.iter().find(|(m, v, _)| is_wanted(m, v)) {
            Some(&(_, _, since)) => Readiness::Loading(since),
            None => Readiness::Absent,
        }
    }

    /// Updates the mean slowness with the ratio of an observed to an estimated time to the
    /// first token.
    pub(crate) fn update_slowness(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
    }
}
