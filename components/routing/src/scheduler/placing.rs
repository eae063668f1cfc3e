//! Choice of the endpoint for a request.

use std::time::Duration;

use rand::Rng as _;
use types::{Priority, Timestamp};
use utils::Rng;

use super::{Lease, Scheduler, reports::salt};
use crate::{
    EndpointLease, EndpointNeed, EndpointState, Target,
    endpoint::{Endpoint, Readiness},
    endpoint_id::EndpointId,
    estimate::{Estimate, estimate},
    pool::PoolId,
};

/// Endpoints with a cached prefix that one choice looks at.
const HOLDERS_TRIED: usize = 4;

/// Endpoints looked at where none of the sampled ones has room.
const SCAN_MAX: usize = 64;

/// Load over the mean of the sampled endpoints, in percent, up to which an endpoint is
/// chosen for its cached prefix.
const HOLDER_LOAD_PERCENT: u32 = 150;

/// Requests above that bound which are allowed where the mean is small.
const HOLDER_LOAD_SLACK: u32 = 2;

/// Cost of leaving the router's failure domain, in seconds.
const OTHER_DOMAIN_S: f64 = 0.001;

/// Cost of a failure domain in which an attempt of the request failed, in seconds.
const FAILED_DOMAIN_S: f64 = 0.02;

/// Cost of each less preferred version, in seconds.
const OTHER_VERSION_S: f64 = 1.0;

/// Cost of a quick endpoint for a bulk request, in seconds.
const BULK_ON_QUICK_S: f64 = 0.15;

/// Cost of an endpoint that is not quick for any other request, in seconds.
const OTHERS_ON_SLOW_S: f64 = 0.1;

/// Requests above the limit that an urgent one may add.
const URGENT_EXCESS: u32 = 1;

/// Result of a choice.
#[derive(Debug)]
pub(super) enum Choice {
    /// This endpoint.
    Place(Candidate),
    /// Endpoints serve the target, but none has room.
    Busy,
    /// Endpoints are loading the target, the first since then.
    Loading(Timestamp),
    /// No endpoint serves the target.
    Absent,
}

/// An endpoint that may be chosen.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate {
    /// Endpoint.
    pub(super) endpoint: EndpointId,
    /// Place of its version in the preferences.
    pub(super) version: usize,
    /// Estimate.
    pub(super) estimate: Estimate,
    /// Whether it is chosen only where no other endpoint has room.
    is_last_resort: bool,
    /// What is compared.
    cost_s: f64,
}

/// What a search has seen so far.
#[derive(Debug)]
struct Search {
    /// Pool.
    pool: PoolId,
    /// Best candidate.
    best: Option<Candidate>,
    /// Whether an endpoint serves the target but has no room.
    has_busy: bool,
    /// When the oldest load of the target began.
    loading_since: Option<Timestamp>,
    /// Requests on the endpoints seen, and their number.
    load: (u32, u32),
}

impl Scheduler {
    /// Chooses the endpoint for a request.
    pub(super) fn choose(
        &self,
        pool: PoolId,
        need: &EndpointNeed,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Choice {
        let members = &self.table.pool(pool).members;
        let blocks: Vec<u64> = need.blocks.iter().map(|&block| salt(block, pool)).collect();
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
        self.consider_holders(pool, need, &blocks, now, &mut search);
        if search.best.is_none_or(|it| it.is_last_resort) && !members.is_empty() {
            let start = rng.random_range(0..members.len());
            let scan = members.iter().cycle().skip(start).take(members.len().min(SCAN_MAX));
            scan.for_each(|&id| self.consider(id, need, &blocks, now, &mut search));
        }
        match search {
            Search { best: Some(best), .. } => Choice::Place(best),
            Search { has_busy: true, .. } => Choice::Busy,
            Search { loading_since: Some(since), .. } => Choice::Loading(since),
            Search { .. } => Choice::Absent,
        }
    }

    /// Adds the endpoints that cache the longest prefix, unless they have more load
    /// than the others: a popular prefix must not make a hot spot.
    fn consider_holders(
        &self,
        pool: PoolId,
        need: &EndpointNeed,
        blocks: &[u64],
        now: Timestamp,
        search: &mut Search,
    ) {
        let (requests, seen) = search.load;
        let mean = requests / seen.max(1);
        let bound = mean * HOLDER_LOAD_PERCENT / 100 + HOLDER_LOAD_SLACK;
        let pool = self.table.pool(pool);
        for id in self.prefixes.holders(blocks).take(HOLDERS_TRIED) {
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
        let is_quick = pool.is_quick(id);
        if endpoint.is_reserved || !self.has_room(endpoint, need.priority, is_quick, now) {
            search.has_busy = true;
            return;
        }
        let cached_blocks = self.prefixes.cached_blocks(blocks, id);
        let estimate = estimate(endpoint, need, cached_blocks, &self.settings);
        let apart_s = if pool.has_quick() { cost_apart(need.priority, is_quick) } else { 0.0 };
        let cost_s = estimate.cost_s + apart_s + self.other_costs(endpoint, need, version);
        let candidate = Candidate { endpoint: id, version, estimate, is_last_resort, cost_s };
        let is_better = search.best.is_none_or(|best| {
            (candidate.is_last_resort, candidate.cost_s) < (best.is_last_resort, best.cost_s)
        });
        if is_better {
            search.best = Some(candidate);
        }
    }

    /// Tells whether the endpoint may get new work, and if so, whether as a last resort.
    fn availability(&self, endpoint: &Endpoint, now: Timestamp) -> Option<bool> {
        match endpoint.state(now) {
            EndpointState::Serving => Some(false),
            EndpointState::Suspect if endpoint.health.is_paused(now) => None,
            EndpointState::Suspect => Some(true),
            // An engine is probed by its load report, a plain service by a request.
            EndpointState::Ejected => {
                let has_reports = endpoint.load.reported_at.is_some();
                (!has_reports && endpoint.health.may_probe(now)).then_some(false)
            }
            EndpointState::Leaving => None,
        }
    }

    /// Tells whether the limit leaves room for a request of `priority`.
    fn has_room(
        &self,
        endpoint: &Endpoint,
        priority: Priority,
        is_quick: bool,
        now: Timestamp,
    ) -> bool {
        let limit = endpoint.limit.get(self.settings.slow_start, now);
        let places = match priority {
            Priority::Bulk => self.bulk_places(limit, is_quick),
            Priority::Normal => limit,
            Priority::Urgent => limit + URGENT_EXCESS,
        };
        let has_place = endpoint.load.requests() < places;
        let is_paced = priority != Priority::Bulk
            || endpoint.load.prompt_tokens() <= self.settings.bulk_prompt_tokens_max;
        has_place && is_paced
    }

    fn bulk_places(&self, limit: u32, is_quick: bool) -> u32 {
        let settings = &self.settings;
        let percent = if is_quick {
            settings.quick_places_bulk_percent
        } else {
            settings.places_bulk_percent
        };
        (limit * percent / 100).max(1)
    }

    fn other_costs(&self, endpoint: &Endpoint, need: &EndpointNeed, version: usize) -> f64 {
        let is_other = endpoint.failure_domain != self.failure_domain;
        let has_failed = !need.avoid.is_empty() && self.has_failed_in(endpoint, need);
        let domain_s = if is_other { OTHER_DOMAIN_S } else { 0.0 };
        let failed_s = if has_failed { FAILED_DOMAIN_S } else { 0.0 };
        domain_s + failed_s + version as f64 * OTHER_VERSION_S
    }

    fn has_failed_in(&self, endpoint: &Endpoint, need: &EndpointNeed) -> bool {
        let failed = need.avoid.iter().filter_map(|name| self.table.id(name));
        let mut domains = failed.map(|id| &self.table.get(id).failure_domain);
        domains.any(|domain| *domain == endpoint.failure_domain)
    }

    /// Gives out a lease on the chosen endpoint.
    pub(super) fn place(
        &mut self,
        pool: PoolId,
        need: &EndpointNeed,
        chosen: Candidate,
        is_trial: bool,
        now: Timestamp,
    ) -> EndpointLease {
        let id = self.take_id();
        for &block in &need.blocks {
            self.prefixes.add(salt(block, pool), chosen.endpoint);
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
        let was_accompanied = endpoint.load.requests() > 0;
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
            was_accompanied,
        };
        self.leases.insert(id, record);
        lease
    }

    /// Creates a candidate out of an endpoint that was picked otherwise.
    pub(super) fn candidate(
        &self,
        id: EndpointId,
        pool: PoolId,
        need: &EndpointNeed,
    ) -> Option<Candidate> {
        let endpoint = self.table.get(id);
        let Readiness::Ready(version) = endpoint.readiness(&need.target) else { return None };
        let blocks: Vec<u64> = need.blocks.iter().map(|&block| salt(block, pool)).collect();
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

    /// Estimates when a load that runs since `since` will have ended.
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

/// Returns the cost of mixing bulk requests with others, whose first tokens would wait
/// behind long prompts.
fn cost_apart(priority: Priority, is_quick: bool) -> f64 {
    match (priority, is_quick) {
        (Priority::Bulk, true) => BULK_ON_QUICK_S,
        (Priority::Normal | Priority::Urgent, false) => OTHERS_ON_SLOW_S,
        (Priority::Bulk, false) | (Priority::Normal | Priority::Urgent, true) => 0.0,
    }
}
