//! One endpoint as the choice sees it.

use std::net::SocketAddr;

use engine_api::{LoadState, LoadedModel};
use types::{EndpointName, FailureDomain, ModelName, ModelVersion, Timestamp};

use crate::{
    EndpointState, Target, concurrency_limit::ConcurrencyLimit, health::Health, load_view::LoadView,
};

/// Weight of a new observation in the mean slowness.
const SLOWNESS_WEIGHT: f64 = 0.1;

/// Bounds of the slowness.
const SLOWNESS_MIN: f64 = 0.5;
const SLOWNESS_MAX: f64 = 20.0;

/// One endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    /// Name.
    pub(crate) name: EndpointName,
    /// Address.
    pub(crate) address: SocketAddr,
    /// Failure domain.
    pub(crate) failure_domain: FailureDomain,
    /// Whether the configuration still names it.
    pub(crate) is_configured: bool,
    /// Whether operators have taken it out of service.
    pub(crate) leaves_by_config: bool,
    /// Whether the host list says that its host is leaving.
    pub(crate) leaves_by_host: bool,
    /// Whether its last report says that it is leaving.
    pub(crate) leaves_by_report: bool,
    /// Models that it has reported; `None` before the first report.
    pub(crate) models: Option<Vec<LoadedModel>>,
    /// When each of its loads was first seen to run.
    pub(crate) loading: Vec<(ModelName, ModelVersion, Timestamp)>,
    /// Load.
    pub(crate) load: LoadView,
    /// Limit on requests in progress.
    pub(crate) limit: ConcurrencyLimit,
    /// Failures.
    pub(crate) health: Health,
    /// Mean of the time to the first token over the estimated one.
    pub(crate) slowness: f64,
    /// Whether it is kept for a suspected request.
    pub(crate) is_reserved: bool,
}

/// Whether an endpoint serves a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Readiness {
    /// It serves with the version at this place of the preferences.
    Ready(usize),
    /// It is loading a version, since then.
    Loading(Timestamp),
    /// It does not serve it.
    Absent,
}

impl Endpoint {
    /// Creates an endpoint of which nothing is known but the configuration.
    pub(crate) fn new(name: EndpointName, cfg: &config::Endpoint) -> Endpoint {
        Endpoint {
            name,
            address: cfg.address,
            failure_domain: cfg.failure_domain.clone(),
            is_configured: true,
            leaves_by_config: cfg.leaving,
            leaves_by_host: false,
            leaves_by_report: false,
            models: None,
            loading: Vec::new(),
            load: LoadView::default(),
            limit: ConcurrencyLimit::default(),
            health: Health::default(),
            slowness: 1.0,
            is_reserved: false,
        }
    }

    /// Returns the state.
    pub(crate) fn state(&self, now: Timestamp) -> EndpointState {
        let is_leaving = self.leaves_by_config || self.leaves_by_host || self.leaves_by_report;
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

    /// Tells whether it serves `target`, and with which version.
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

    /// Learns from the ratio of an observed to an estimated time to the first token.
    pub(crate) fn learn_slowness(&mut self, ratio: f64) {
        let ratio = ratio.clamp(SLOWNESS_MIN, SLOWNESS_MAX);
        self.slowness += (ratio - self.slowness) * SLOWNESS_WEIGHT;
    }
}
