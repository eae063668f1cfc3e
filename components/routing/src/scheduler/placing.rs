//! Selection of the endpoint for a request.

use std::time::Duration;

use rand::Rng as _;
use types::{Priority, Timestamp};
use utils::Rng;

use super::{Lease, Scheduler, reports::block_key};
use crate::{
    EndpointLease, EndpointNeed, EndpointState, Target,
    endpoint::{Endpoint, Readiness},
    endpoint_id::EndpointId,
    estimate::{Estimate, estimate},
    pool::PoolId,
};

/// Endpoints that cache a prefix of the prompt and are considered in one selection.
const CACHING_ENDPOINTS_MAX: usize = 4;

/// Endpoints scanned in one selection if those considered before yield no candidate or only
/// a last resort.
const SCANNED_ENDPOINTS_MAX: usize = 64;

/// Highest load at which an endpoint is considered for its cached prefix, in percent of
/// the mean load of the endpoints considered before it.
const CACHING_LOAD_PERCENT_MAX: u32 = 150;

/// Requests added to that bound, because a percentage of a small mean allows too few.
const CACHING_LOAD_SLACK_REQUESTS: u32 = 2;

/// Cost of an endpoint outside the router's failure domain, in seconds.
const OTHER_DOMAIN_COST_S: f64 = 0.001;

/// Cost of an endpoint in a failure domain where an attempt of the request failed, in
/// seconds.
const FAILED_DOMAIN_COST_S: f64 = 0.02;

/// Cost of a model version for each version that is preferred to it, in seconds.
const VERSION_RANK_COST_S: f64 = 1.0;

/// Cost of an interactive endpoint for a bulk request, in seconds.
const BULK_ON_INTERACTIVE_COST_S: f64 = 0.15;

/// Cost of a non-interactive endpoint for a normal or urgent request, in seconds.
const INTERACTIVE_ON_SHARED_COST_S: f64 = 0.1;

/// Requests by which urgent requests may exceed an endpoint's limit.
const URGENT_EXCESS_REQUESTS: u32 = 1;

/// Result of a selection.
#[derive(Debug)]
pub(super) enum Choice {
    /// The request can be placed on this endpoint.
    Place(Candidate),
    /// Endpoints serve the target, but none has capacity.
    Busy,
    /// No endpoint serves the target yet, but endpoints are loading it; the oldest of these
    /// loads began at this time.
    Loading(Timestamp),
    /// No endpoint serves the target.
    Absent,
}

/// An endpoint that a request can be placed on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    pub(super) endpoint: EndpointId,
    /// Index of its model version in the request's order of preference.
    pub(super) version: usize,
    pub(super) estimate: Estimate,
    /// Whether it is selected only if no other endpoint has capacity.
    is_last_resort: bool,
    /// Total cost by which candidates are compared, in seconds.
    cost_s: f64,
}

/// State of a selection in progress.
#[derive(Debug)]
struct Search {
    pool: PoolId,
    /// Candidate with the lowest cost so far.
    best: Option<Candidate>,
    /// Whether an endpoint serves the target but has no capacity.
    has_busy: bool,
    /// When the oldest model load of the target began.
    loading_since: Option<Timestamp>,
    /// Requests on the considered endpoints that serve the target, and the number of these
    /// endpoints.
    load: (u32, u32),
}

impl Scheduler {
    /// Selects the endpoint for a request.
    pub(super) fn choose(
        &self,
        pool: PoolId,
        need: &EndpointNeed,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Choice {
        let members = &self.table.pool(pool).members;
        let blocks: Vec<u64> = need.blocks.iter().map(|&block| block_key(block, pool)).collect();
        let mut search =
            Search { pool, best: None, has_busy: false, loading_since: None, load: (0, 0) };
        if members.len() <= self.settings.scanned_endpoints {
            members.iter().for_each(|&id| self.consider(id, need, &blocks, now, &mut search));
        } else {
            for _ in 0..self.settings.sampled_endpoints {
                let id = members[rng.random_range(0..members.len())];
                self.consider(id, need, &blocks, now, &mut search);
            }
        }
        self.consider_caching_endpoints(pool, need, &blocks, now, &mut search);
        if search.best.is_none_or(|it| it.is_last_resort) && !members.is_empty() {
            let start = rng.random_range(0..members.len());
            let scan =
                members.iter().cycle().skip(start).take(members.len().min(SCANNED_ENDPOINTS_MAX));
            scan.for_each(|&id| self.consider(id, need, &blocks, now, &mut search));
        }
        match search {
            Search { best: Some(best), .. } => Choice::Place(best),
            Search { has_busy: true, .. } => Choice::Busy,
            Search { loading_since: Some(since), .. } => Choice::Loading(since),
            Search { .. } => Choice::Absent,
        }
    }

    /// Considers the endpoints that cache the longest prefix of the prompt, except those
    /// loaded well above the mean: a popular prefix must not create a hot spot.
    fn consider_caching_endpoints(
        &self,
        pool: PoolId,
        need: &EndpointNeed,
        blocks: &[u64],
        now: Timestamp,
        search: &mut Search,
    ) {
        let (requests, seen) = search.load;
        let mean = requests / seen.max(1);
        let bound = mean * CACHING_LOAD_PERCENT_MAX / 100 + CACHING_LOAD_SLACK_REQUESTS;
        let pool = self.table.pool(pool);
        for id in self.prefixes.longest_prefix_endpoints(blocks).take(CACHING_ENDPOINTS_MAX) {
            let is_bounded = self.table.get(id).load.requests() <= bound;
            if is_bounded && pool.member_set.contains(&id) {
                self.consider(id, need, blocks, now, search);
            }
        }
    }

    fn consider(
        &self,
        id: EndpointId,
        need: &EndpointNeed,
        blocks: &[u64],
        now: Timestamp,
        search: &mut Search,
    ) {
        let endpoint = self.table.get(id);
        if need.avoid.contains(&endpoint.name) {
            return;
        }
        let Some(is_last_resort) = self.availability(endpoint, now) else { return };
        let version = match endpoint.readiness(&need.target) {
            Readiness::Ready(version) => version,
            Readiness::Loading(since) => {
                let oldest = search.loading_since.map_or(since, |it| it.min(since));
                search.loading_since = Some(oldest);
                return;
            }
            Readiness::Absent => return,
        };
        search.load.0 += endpoint.load.requests();
        search.load.1 += 1;
        let pool = self.table.pool(search.pool);
        let is_interactive = pool.is_interactive(id);
        if endpoint.is_reserved || !self.has_capacity(endpoint, need.priority, is_interactive, now)
        {
            search.has_busy = true;
            return;
        }
        let cached_blocks = self.prefixes.cached_blocks(blocks, id);
        let estimate = estimate(endpoint, need, cached_blocks, &self.settings);
        let mixing_s = if pool.has_interactive_endpoints() {
            mixing_cost_s(need.priority, is_interactive)
        } else {
            0.0
        };
        let cost_s = estimate.cost_s + mixing_s + self.extra_costs_s(endpoint, need, version);
        let candidate = Candidate { endpoint: id, version, estimate, is_last_resort, cost_s };
        let is_better = search.best.is_none_or(|best| {
            (candidate.is_last_resort, candidate.cost_s) < (best.is_last_resort, best.cost_s)
        });
        if is_better {
            search.best = Some(candidate);
        }
    }

    /// Returns whether the endpoint is only a last resort, or `None` if it must not get
    /// new requests.
    fn availability(&self, endpoint: &Endpoint, now: Timestamp) -> Option<bool> {
        match endpoint.state(now) {
            EndpointState::Serving => Some(false),
            EndpointState::Suspect if endpoint.health.is_paused(now) => None,
            EndpointState::Suspect => Some(true),
            // Engines are probed through their load reports, plain services by a request.
            EndpointState::Ejected => {
                let has_reports = endpoint.load.reported_at.is_some();
                (!has_reports && endpoint.health.may_probe(now)).then_some(false)
            }
            EndpointState::Leaving => None,
        }
    }

    /// Reports whether the endpoint's limit allows another request of `priority`.
    fn has_capacity(
        &self,
        endpoint: &Endpoint,
        priority: Priority,
        is_interactive: bool,
        now: Timestamp,
    ) -> bool {
        let limit = endpoint.limit.get(self.settings.slow_start, now);
        let request_limit = match priority {
            Priority::Bulk => self.bulk_limit(limit, is_interactive),
            Priority::Normal => limit,
            Priority::Urgent => limit + URGENT_EXCESS_REQUESTS,
        };
        let is_below_limit = endpoint.load.requests() < request_limit;
        let has_prompt_capacity = priority != Priority::Bulk
            || endpoint.load.prompt_tokens() <= self.settings.bulk_prompt_tokens_max;
        is_below_limit && has_prompt_capacity
    }

    fn bulk_limit(&self, limit: u32, is_interactive: bool) -> u32 {
        let settings = &self.settings;
        let percent = if is_interactive {
            settings.interactive_bulk_limit_percent
        } else {
            settings.bulk_limit_percent
        };
        (limit * percent / 100).max(1)
    }

    fn extra_costs_s(&self, endpoint: &Endpoint, need: &EndpointNeed, version: usize) -> f64 {
        let is_other = endpoint.failure_domain != self.failure_domain;
        let has_failed = !need.avoid.is_empty() && self.has_failed_in_same_domain(endpoint, need);
        let domain_s = if is_other { OTHER_DOMAIN_COST_S } else { 0.0 };
        let failed_s = if has_failed { FAILED_DOMAIN_COST_S } else { 0.0 };
        domain_s + failed_s + version as f64 * VERSION_RANK_COST_S
    }

    fn has_failed_in_same_domain(&self, endpoint: &Endpoint, need: &EndpointNeed) -> bool {
        let failed = need.avoid.iter().filter_map(|name| self.table.id(name));
        let mut domains = failed.map(|id| &self.table.get(id).failure_domain);
        domains.any(|domain| *domain == endpoint.failure_domain)
    }

    /// Grants a lease on the chosen endpoint.
    pub(super) fn place(
        &mut self,
        pool: PoolId,
        need: &EndpointNeed,
        chosen: Candidate,
        is_trial: bool,
        now: Timestamp,
    ) -> EndpointLease {
        let id = self.allocate_id();
        for &block in &need.blocks {
            self.prefixes.add(block_key(block, pool), chosen.endpoint);
        }
        let version = match &need.target {
            Target::Model { versions, .. } => versions.get(chosen.version).cloned(),
            Target::Service(_) => None,
        };
        let endpoint = self.table.get_mut(chosen.endpoint);
        if endpoint.health.is_ejected() {
            endpoint.health.start_probe();
        }
        self.table.pools[pool.0 as usize].in_progress[need.priority as usize] += 1;
        let endpoint = self.table.get_mut(chosen.endpoint);
        let started_with_others = endpoint.load.requests() > 0;
        endpoint.load.add(chosen.estimate.prompt_tokens, now);
        endpoint.is_reserved |= is_trial;
        let lease = EndpointLease {
            id,
            endpoint: endpoint.name.clone(),
            address: endpoint.address,
            failure_domain: endpoint.failure_domain.clone(),
            version,
        };
        let expected_s = chosen.estimate.first_token_s / endpoint.slowness;
        let record = Lease {
            endpoint: chosen.endpoint,
            pool,
            priority: need.priority,
            prompt_tokens: chosen.estimate.prompt_tokens,
            expected_s,
            placed_at: now,
            has_first_token: false,
            fingerprint: need.fingerprint,
            is_trial,
            started_with_others,
        };
        self.leases.insert(id, record);
        lease
    }

    /// Creates a candidate for an endpoint that was selected by other means, such as a
    /// reservation. Returns `None` if the endpoint does not serve the target.
    pub(super) fn candidate_for(
        &self,
        id: EndpointId,
        pool: PoolId,
        need: &EndpointNeed,
    ) -> Option<Candidate> {
        let endpoint = self.table.get(id);
        let Readiness::Ready(version) = endpoint.readiness(&need.target) else { return None };
        let blocks: Vec<u64> = need.blocks.iter().map(|&block| block_key(block, pool)).collect();
        let cached_blocks = self.prefixes.cached_blocks(&blocks, id);
        let estimate = estimate(endpoint, need, cached_blocks, &self.settings);
        Some(Candidate {
            endpoint: id,
            version,
            estimate,
            is_last_resort: false,
            cost_s: estimate.cost_s,
        })
    }

    /// Estimates when a model load that started at `since` will end, from the mean load time
    /// of the model.
    pub(super) fn ready_at(
        &self,
        need: &EndpointNeed,
        since: Timestamp,
        now: Timestamp,
    ) -> Timestamp {
        let Target::Model { model, .. } = &need.target else { return now };
        let seconds = self.load_times.get(model).copied().unwrap_or(0.0);
        (since + Duration::from_secs_f64(seconds)).max(now)
    }
}

/// Returns the cost of mixing bulk and interactive requests on one endpoint, in seconds:
/// the first tokens of interactive requests would wait behind long bulk prompts.
fn mixing_cost_s(priority: Priority, is_interactive: bool) -> f64 {
    match (priority, is_interactive) {
        (Priority::Bulk, true) => BULK_ON_INTERACTIVE_COST_S,
        (Priority::Normal | Priority::Urgent, false) => INTERACTIVE_ON_SHARED_COST_S,
        (Priority::Bulk, false) | (Priority::Normal | Priority::Urgent, true) => 0.0,
    }
}
