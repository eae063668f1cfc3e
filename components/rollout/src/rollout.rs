//! The state machine of rollouts.

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
    desired::{domains_of, is_permitted, wanted_targets},
};

/// Time after which an order is given again whose effect no report shows.
pub const ORDER_REPEAT: Duration = Duration::from_secs(10);

/// Longest time of a load.
pub const LOAD_TIMEOUT: Duration = Duration::from_secs(1_800);

/// Time after which the weight store is asked again for weights that it did not have.
const WEIGHTS_RETRY: Duration = Duration::from_secs(60);

/// Of the endpoints of a model, the share (one in so many) that may stop serving it to
/// make room for a new version.
const SWAPPED_SHARE: usize = 3;

/// Reports by endpoint.
type Reports = BTreeMap<EndpointName, EndpointReport>;

/// A version on an endpoint.
type Place = (EndpointName, ModelTarget);

/// The state machine of rollouts. Most of what it knows it reads from the reports, so
/// that a new holder of the lease goes on where the last one stopped.
#[derive(Debug, Clone, Default)]
pub struct Rollout {
    /// When each order was given last, by endpoint and order.
    given: Vec<(EndpointOrder, Timestamp)>,
    /// Since when a version is being loaded on an endpoint.
    loading_since: BTreeMap<Place, Timestamp>,
    /// Loads that an endpoint refused.
    refused: BTreeSet<Place>,
    /// Versions that the weight store does not have: the endpoint that was to load, and
    /// when the store was asked.
    without_weights: BTreeMap<ModelTarget, (EndpointName, Timestamp)>,
}

impl Rollout {
    /// Decides on the orders to give now.
    pub fn decide(
        &mut self,
        cfg: &Config,
        reports: &Reports,
        now: Timestamp,
    ) -> (Vec<EndpointOrder>, RolloutStatus) {
        self.note_loads(reports, now);
        let wanted = wanted_targets(cfg);
        self.forget_unwanted(&wanted);
        let (mut orders, mut status) = (Vec::new(), RolloutStatus::default());
        for (target, adapters) in &wanted {
            let Some(model) = cfg.models.get(&target.model) else { continue };
            let domains = domains_of(cfg, model);
            status.progress.push(measure_progress(target, &domains, reports));
            orders.extend(order_adapters(target, adapters, &domains, reports));
            if let Some(halt) = self.find_halt(cfg, target, &domains, reports, now) {
                status.halts.push(halt);
                continue;
            }
            orders.extend(self.order_loads(cfg, target, model, &domains, reports));
        }
        orders.extend(order_unloads(cfg, &wanted, reports, &mut status.leftovers));
        orders.retain(|order| may_be_given(cfg, order));
        self.given.retain(|(_, at)| now.since(*at) < ORDER_REPEAT);
        orders.retain(|order| !self.given.iter().any(|(given, _)| given == order));
        (orders, status)
    }

    /// Takes the result of an order.
    pub fn on_result(&mut self, order: &EndpointOrder, result: OrderResult, now: Timestamp) {
        if result != OrderResult::RateLimited {
            self.given.push((order.clone(), now));
        }
        let OrderKind::Load { model, version } = &order.kind else { return };
        let target = ModelTarget { model: model.clone(), version: version.clone() };
        match result {
            OrderResult::Refused => {
                self.refused.insert((order.endpoint.clone(), target));
            }
            OrderResult::NoWeights => {
                self.without_weights.insert(target, (order.endpoint.clone(), now));
            }
            OrderResult::Accepted => {
                self.refused.remove(&(order.endpoint.clone(), target));
            }
            OrderResult::RateLimited | OrderResult::Unknown => {}
        }
    }

    /// Notes since when loads have been going on.
    fn note_loads(&mut self, reports: &Reports, now: Timestamp) {
        let is_loading = |(endpoint, target): &Place| {
            reports.get(endpoint).is_none_or(|it| it.state_of(target) == TargetState::Loading)
        };
        self.loading_since.retain(|place, _| is_loading(place));
        for (endpoint, report) in reports {
            for loaded in report.models.iter().filter(|it| it.state == LoadState::Loading) {
                let target =
                    ModelTarget { model: loaded.model.clone(), version: loaded.version.clone() };
                self.loading_since.entry((endpoint.clone(), target)).or_insert(now);
            }
        }
    }

    /// Forgets refusals of versions that are no longer wanted, so that a version which
    /// is wanted again is tried again.
    fn forget_unwanted(&mut self, wanted: &BTreeMap<ModelTarget, BTreeSet<AdapterName>>) {
        self.refused.retain(|(_, target)| wanted.contains_key(target));
        self.without_weights.retain(|target, _| wanted.contains_key(target));
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
        let absent = self.without_weights.get(target);
        if let Some((endpoint, _)) = absent.filter(|(_, at)| now.since(*at) < WEIGHTS_RETRY) {
            return halt(endpoint, HaltReason::NoWeights);
        }
        for &endpoint in domains.values().flatten() {
            let place = (endpoint.clone(), target.clone());
            let loading = self.loading_since.get(&place);
            if state_on(reports, endpoint, target) == TargetState::Failed {
                return halt(endpoint, HaltReason::LoadFailed);
            }
            if loading.is_some_and(|&since| now.since(since) >= LOAD_TIMEOUT) {
                return halt(endpoint, HaltReason::LoadTimedOut);
            }
            let can_make_room = || find_swap(cfg, target, endpoint, reports).is_some();
            if self.refused.contains(&place) && !can_make_room() {
                return halt(endpoint, HaltReason::NoRoom);
            }
        }
        None
    }

    /// Orders the loads of the first failure domain that does not serve `target` whole.
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
        // The first endpoint of all shows whether the version can be loaded.
        let is_proven = domains.values().flatten().any(|it| state(it) == TargetState::Ready);
        let is_loading = model.endpoints.iter().any(|it| state(&it) == TargetState::Loading);
        let most = match (is_proven, is_loading) {
            (true, _) => usize::MAX,
            (false, true) => 0,
            (false, false) => 1,
        };
        let mut orders = Vec::new();
        let mut is_swapping = is_loading;
        for endpoint in missing.take(most) {
            if !self.refused.contains(&((*endpoint).clone(), target.clone())) {
                orders.push(load(endpoint, target));
                continue;
            }
            // One at a time, so that the count of those that serve is right.
            if let Some(removed) =
                find_swap(cfg, target, endpoint, reports).filter(|_| !is_swapping)
            {
                is_swapping = true;
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

/// Tells whether the endpoint may get the order, whether or not it checks fencing
/// numbers.
fn may_be_given(cfg: &Config, order: &EndpointOrder) -> bool {
    let endpoint = cfg.endpoints.get(&order.endpoint);
    endpoint.is_some_and(|endpoint| endpoint.checks_fencing || order.is_safe_when_late())
}

/// Finds an older version of the same model that `endpoint` may give up for `target`:
/// enough other endpoints serve the model.
fn find_swap(
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
    let needed = model.endpoints.len() - model.endpoints.len().div_ceil(SWAPPED_SHARE);
    if others < needed.max(1) {
        return None;
    }
    let mut loaded = reports.get(endpoint)?.models.iter();
    let older = loaded.find(|it| it.model == target.model && it.version != target.version)?;
    Some(ModelTarget { model: older.model.clone(), version: older.version.clone() })
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

/// Orders what is no longer permitted to be unloaded, in one failure domain, from
/// endpoints that serve all that is wanted of them.
fn order_unloads(
    cfg: &Config,
    wanted: &BTreeMap<ModelTarget, BTreeSet<AdapterName>>,
    reports: &Reports,
    leftovers: &mut Vec<Leftover>,
) -> Vec<EndpointOrder> {
    let mut by_domain: BTreeMap<&FailureDomain, Vec<EndpointOrder>> = BTreeMap::new();
    for (name, report) in reports {
        let Some(endpoint) = cfg.endpoints.get(name) else { continue };
        let is_served = wanted.keys().all(|target| {
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
            } else if is_served {
                let orders = by_domain.entry(&endpoint.failure_domain).or_default();
                orders.push(unload(name, &target));
            }
        }
    }
    by_domain.into_values().next().unwrap_or_default()
}
