//! The rollout state machine.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use config::{Config, Model};
use engine_api::{LoadState, OrderKind};
use types::{AdapterName, EndpointName, FailureDomain, Timestamp};

use crate::{
    EndpointOrder, EndpointReport, Halt, HaltReason, Leftover, ModelTarget, OrderResult,
    RolloutProgress, RolloutStatus, TargetState,
    desired::{desired_targets, endpoints_by_domain, is_permitted},
};

/// Minimum time between two sends of the same order, while no report shows its effect.
pub const ORDER_REPEAT_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a load that is still in progress halts the rollout.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(1_800);

/// Time after which the weight store is asked again for weights that it did not have.
const MISSING_WEIGHTS_RETRY_DELAY: Duration = Duration::from_secs(60);

/// At most one in this many endpoints of a model, rounded up, may stop serving it at a time to
/// make room for a new version.
const ENDPOINTS_PER_REPLACEMENT: usize = 3;

/// Last report of each endpoint that answers.
type Reports = BTreeMap<EndpointName, EndpointReport>;

/// A version on an endpoint.
type Placement = (EndpointName, ModelTarget);

/// The rollout state machine. It derives most of its state from the reports, so that a new
/// holder of the controller lease continues where the previous one stopped.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// Recently sent orders and the time at which each was sent.
    sent: Vec<(EndpointOrder, Timestamp)>,
    /// Time at which each load in progress was first seen.
    loading_since: BTreeMap<Placement, Timestamp>,
    /// Loads that an endpoint refused.
    refused_loads: BTreeSet<Placement>,
    /// Versions that the weight store did not have, each with the endpoint that should have
    /// loaded it and the time at which the store was asked.
    missing_weights: BTreeMap<ModelTarget, (EndpointName, Timestamp)>,
}

impl Rollout {
    /// Decides on the orders to send now, and returns the status of all rollouts.
    pub fn decide(
        &mut self,
        cfg: &Config,
        reports: &Reports,
        now: Timestamp,
    ) -> (Vec<EndpointOrder>, RolloutStatus) {
        self.track_loads(reports, now);
        let desired = desired_targets(cfg);
        self.clear_undesired(&desired);
        let (mut orders, mut status) = (Vec::new(), RolloutStatus::default());
        for (target, adapters) in &desired {
            let Some(model) = cfg.models.get(&target.model) else { continue };
            let domains = endpoints_by_domain(cfg, model);
            status.progress.push(measure_progress(target, &domains, reports));
            orders.extend(order_adapters(target, adapters, &domains, reports));
            if let Some(halt) = self.find_halt(cfg, target, &domains, reports, now) {
                status.halts.push(halt);
                continue;
            }
            orders.extend(self.order_loads(cfg, target, model, &domains, reports));
        }
        orders.extend(order_unloads(cfg, &desired, reports, &mut status.leftovers));
        orders.retain(|order| may_be_sent(cfg, order));
        self.sent.retain(|(_, at)| now.since(*at) < ORDER_REPEAT_INTERVAL);
        orders.retain(|order| !self.sent.iter().any(|(sent, _)| sent == order));
        (orders, status)
    }

    /// Handles the result of an order.
    pub fn on_result(&mut self, order: &EndpointOrder, result: OrderResult, now: Timestamp) {
        if result != OrderResult::RateLimited {
            self.sent.push((order.clone(), now));
        }
        let OrderKind::Load { model, version } = &order.kind else { return };
        let target = ModelTarget { model: model.clone(), version: version.clone() };
        match result {
            OrderResult::Refused => {
                self.refused_loads.insert((order.endpoint.clone(), target));
            }
            OrderResult::NoWeights => {
                self.missing_weights.insert(target, (order.endpoint.clone(), now));
            }
            OrderResult::Accepted => {
                self.refused_loads.remove(&(order.endpoint.clone(), target));
            }
            OrderResult::RateLimited | OrderResult::Unknown => {}
        }
    }

    /// Updates the start times of the loads in progress. An endpoint without a report keeps its
    /// entries.
    fn track_loads(&mut self, reports: &Reports, now: Timestamp) {
        let is_loading = |(endpoint, target): &Placement| {
            reports.get(endpoint).is_none_or(|it| it.state_of(target) == TargetState::Loading)
        };
        self.loading_since.retain(|placement, _| is_loading(placement));
        for (endpoint, report) in reports {
            for loaded in report.models.iter().filter(|it| it.state == LoadState::Loading) {
                let target =
                    ModelTarget { model: loaded.model.clone(), version: loaded.version.clone() };
                self.loading_since.entry((endpoint.clone(), target)).or_insert(now);
            }
        }
    }

    /// Removes refusals and missing weights of versions that are no longer desired, so that a
    /// version that becomes desired again is tried again.
    fn clear_undesired(&mut self, desired: &BTreeMap<ModelTarget, BTreeSet<AdapterName>>) {
        self.refused_loads.retain(|(_, target)| desired.contains_key(target));
        self.missing_weights.retain(|target, _| desired.contains_key(target));
    }

    fn find_halt(
        &self,
        cfg: &Config,
        target: &ModelTarget,
        domains: &BTreeMap<&FailureDomain, Vec<&EndpointName>>,
        reports: &Reports,
        now: Timestamp,
    ) -> Option<Halt> {
        let halt = |endpoint: &EndpointName, reason| {
            Some(Halt { target: target.clone(), endpoint: endpoint.clone(), reason })
        };
        let missing = self.missing_weights.get(target);
        if let Some((endpoint, _)) =
            missing.filter(|(_, at)| now.since(*at) < MISSING_WEIGHTS_RETRY_DELAY)
        {
            return halt(endpoint, HaltReason::NoWeights);
        }
        for &endpoint in domains.values().flatten() {
            let placement = (endpoint.clone(), target.clone());
            let loading = self.loading_since.get(&placement);
            if state_on(reports, endpoint, target) == TargetState::Failed {
                return halt(endpoint, HaltReason::LoadFailed);
            }
            if loading.is_some_and(|&since| now.since(since) >= LOAD_TIMEOUT) {
                return halt(endpoint, HaltReason::LoadTimedOut);
            }
            let can_make_room = || find_replaceable(cfg, target, endpoint, reports).is_some();
            if self.refused_loads.contains(&placement) && !can_make_room() {
                return halt(endpoint, HaltReason::NoRoom);
            }
        }
        None
    }

    /// Returns the orders to load `target` in the first failure domain where an endpoint has
    /// yet to load it or is loading it.
    fn order_loads(
        &self,
        cfg: &Config,
        target: &ModelTarget,
        model: &Model,
        domains: &BTreeMap<&FailureDomain, Vec<&EndpointName>>,
        reports: &Reports,
    ) -> Vec<EndpointOrder> {
        let state = |endpoint: &&EndpointName| state_on(reports, endpoint, target);
        let is_pending = |endpoint: &&EndpointName| {
            matches!(state(endpoint), TargetState::Missing | TargetState::Loading)
        };
        let Some(domain) = domains.values().find(|it| it.iter().any(is_pending)) else {
            return Vec::new();
        };
        let missing = domain.iter().filter(|it| state(it) == TargetState::Missing);
        // Until one endpoint serves the version, only one loads it, to show that it can be
        // loaded.
        let is_proven = domains.values().flatten().any(|it| state(it) == TargetState::Ready);
        let is_loading = model.endpoints.iter().any(|it| state(&it) == TargetState::Loading);
        let max_loads = match (is_proven, is_loading) {
            (true, _) => usize::MAX,
            (false, true) => 0,
            (false, false) => 1,
        };
        let mut orders = Vec::new();
        let mut is_replacing = is_loading;
        for endpoint in missing.take(max_loads) {
            if !self.refused_loads.contains(&((*endpoint).clone(), target.clone())) {
                orders.push(load(endpoint, target));
                continue;
            }
            // At most one replacement at a time, because `find_replaceable` counts the serving
            // endpoints from the reports.
            if let Some(removed) =
                find_replaceable(cfg, target, endpoint, reports).filter(|_| !is_replacing)
            {
                is_replacing = true;
                orders.push(unload(endpoint, &removed));
                orders.push(load(endpoint, target));
            }
        }
        orders
    }
}

fn state_on(reports: &Reports, endpoint: &EndpointName, target: &ModelTarget) -> TargetState {
    reports.get(endpoint).map_or(TargetState::Unknown, |report| report.state_of(target))
}

fn load(endpoint: &EndpointName, target: &ModelTarget) -> EndpointOrder {
    let (model, version) = (target.model.clone(), target.version.clone());
    EndpointOrder { endpoint: endpoint.clone(), kind: OrderKind::Load { model, version } }
}

fn unload(endpoint: &EndpointName, target: &ModelTarget) -> EndpointOrder {
    let (model, version) = (target.model.clone(), target.version.clone());
    EndpointOrder { endpoint: endpoint.clone(), kind: OrderKind::Unload { model, version } }
}

/// Returns whether the order may be sent: its endpoint checks fencing numbers, or the order is
/// safe when late.
fn may_be_sent(cfg: &Config, order: &EndpointOrder) -> bool {
    let endpoint = cfg.endpoints.get(&order.endpoint);
    endpoint.is_some_and(|endpoint| endpoint.checks_fencing || order.is_safe_when_late())
}

/// Finds another version of the same model that `endpoint` may unload to make room for
/// `target`. Returns `None` unless enough other endpoints serve the model.
fn find_replaceable(
    cfg: &Config,
    target: &ModelTarget,
    endpoint: &EndpointName,
    reports: &Reports,
) -> Option<ModelTarget> {
    let model = cfg.models.get(&target.model)?;
    if !cfg.endpoints.get(endpoint)?.checks_fencing {
        return None;
    }
    let serves = |name: &EndpointName| {
        reports.get(name).is_some_and(|report| {
            report.models.iter().any(|it| {
                it.model == target.model
                    && it.state == LoadState::Ready
                    && model.versions.contains(&it.version)
            })
        })
    };
    let others = model.endpoints.iter().filter(|name| *name != endpoint && serves(name)).count();
    let needed = model.endpoints.len() - model.endpoints.len().div_ceil(ENDPOINTS_PER_REPLACEMENT);
    if others < needed.max(1) {
        return None;
    }
    let mut loaded = reports.get(endpoint)?.models.iter();
    let replaceable = loaded.find(|it| it.model == target.model && it.version != target.version)?;
    Some(ModelTarget { model: replaceable.model.clone(), version: replaceable.version.clone() })
}

fn measure_progress(
    target: &ModelTarget,
    domains: &BTreeMap<&FailureDomain, Vec<&EndpointName>>,
    reports: &Reports,
) -> RolloutProgress {
    let endpoints = || domains.values().flatten();
    let is_ready = |name: &&&EndpointName| state_on(reports, name, target) == TargetState::Ready;
    RolloutProgress {
        target: target.clone(),
        ready: endpoints().filter(is_ready).count(),
        total: endpoints().count(),
    }
}

fn order_adapters(
    target: &ModelTarget,
    adapters: &BTreeSet<AdapterName>,
    domains: &BTreeMap<&FailureDomain, Vec<&EndpointName>>,
    reports: &Reports,
) -> Vec<EndpointOrder> {
    let mut orders = Vec::new();
    for &endpoint in domains.values().flatten() {
        let Some(report) = reports.get(endpoint) else { continue };
        if report.state_of(target) != TargetState::Ready {
            continue;
        }
        for adapter in adapters.iter().filter(|it| !report.has_adapter(target, it)) {
            let kind = OrderKind::LoadAdapter {
                model: target.model.clone(),
                version: target.version.clone(),
                adapter: adapter.clone(),
            };
            orders.push(EndpointOrder { endpoint: endpoint.clone(), kind });
        }
    }
    orders
}

/// Returns the orders to unload versions that are no longer permitted. They go to one failure
/// domain at a time, and only to endpoints that already serve all desired versions that they
/// may load. Endpoints that do not check fencing numbers are added to `leftovers` instead.
fn order_unloads(
    cfg: &Config,
    desired: &BTreeMap<ModelTarget, BTreeSet<AdapterName>>,
    reports: &Reports,
    leftovers: &mut Vec<Leftover>,
) -> Vec<EndpointOrder> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<EndpointOrder>> = BTreeMap::new();
    for (name, report) in reports {
        let Some(endpoint) = cfg.endpoints.get(name) else { continue };
        let serves_desired = desired.keys().all(|target| {
            !is_permitted(cfg, name, target) || report.state_of(target) == TargetState::Ready
        });
        for loaded in &report.models {
            let target =
                ModelTarget { model: loaded.model.clone(), version: loaded.version.clone() };
            if is_permitted(cfg, name, &target) {
                continue;
            }
            if !endpoint.checks_fencing {
                leftovers.push(Leftover { endpoint: name.clone(), target });
            } else if serves_desired {
                let orders = by_domain.entry(&endpoint.failure_domain).or_default();
                orders.push(unload(name, &target));
            }
        }
    }
    by_domain.into_values().next().unwrap_or_default()
}
