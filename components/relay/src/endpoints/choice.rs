//! Chooses an endpoint for a request by estimated cost.

use std::sync::Arc;

use rand::Rng as _;
use routing::PlacementCosts;
use types::Timestamp;
use utils::{HashSet, Rng, stable_hash};

use super::{
    book::EndpointRegistry,
    brittleness::is_brittle,
    cold::COLD_COST_MS,
    endpoint::Endpoint,
    load::Load,
    placement::{Choice, LimitedWait, Placement, PlacementRequest, ProcessId},
    prompt_split::is_long,
    rate_limit::NextRequest,
    unreached::are_unreached,
};
use crate::model::{PromptPart, TokenDemand};

/// Cost of an endpoint in another failure domain, in milliseconds of delay; represents the price
/// of traffic between failure domains.
const OTHER_DOMAIN_COST_MS: f64 = 12.0;

/// Cost of an endpoint whose requests all fail, in milliseconds of delay. It is scaled by the
/// share of failed requests.
const FAILURE_COST_MS: f64 = 1_500.0;

/// Cost of placing a short prompt on an endpoint that takes long prompts, in milliseconds of
/// delay: about one pause between the tokens of its answer.
const SHORT_ON_LONG_COST_MS: f64 = 150.0;

/// Cost of placing a long prompt on an endpoint that takes short prompts, in milliseconds of
/// delay: every request that runs there pauses once.
const LONG_ON_SHORT_COST_MS: f64 = 450.0;

/// Cost of each token of a shared prompt part that the endpoint has to process again, in
/// milliseconds of delay on top of the processing time: the work delays all other requests
/// there, and the part evicts another one from the cache.
const SHARED_TOKEN_COST_MS: f64 = 0.15;

/// Cost of an endpoint that runs as many requests as it has proved to take, in milliseconds of delay:
/// one more slows down all of them.
const SLOWED_DOWN_COST_MS: f64 = 450.0;

/// Cost of an endpoint of a version that is being replaced for a new stream, in milliseconds of
/// delay: streams that began at that version can go on only there.
const REPLACED_VERSION_COST_MS: f64 = 60.0;

/// Share of an engine's memory up to which requests are placed on it, from 0 to 1.
const MEMORY_SHARE: f64 = 0.92;

/// Endpoints whose cost exceeds the lowest by at most this much count as equal, in milliseconds;
/// one of them is chosen at random.
const TIE_MS: f64 = 2.0;

/// An endpoint and its cost for a request.
struct Candidate<'a> {
    /// The endpoint.
    endpoint: &'a Endpoint,
    /// Load that the request adds there.
    load: Load,
    /// Load of all other requests there.
    total: Load,
    /// Estimated wait, in milliseconds.
    wait_ms: f64,
    /// Cost that candidates are compared by, in milliseconds.
    cost_ms: f64,
    /// When the endpoint's statements allow the request.
    next_request: NextRequest,
    /// Whether the endpoint is brittle.
    is_brittle: bool,
    /// Whether it is cold.
    is_cold: bool,
    /// Whether it failed recently, or failed the request.
    is_last_resort: bool,
    /// Whether the answer is needed to learn if a rate limit still holds.
    confirms_limit: bool,
}

impl EndpointRegistry {
    /// Chooses an endpoint for a request and adds the request's load to it.
    pub fn place(
        &mut self,
        request: &PlacementRequest<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Choice {
        if let Some(tokens) = request.tokens {
            let costs = PlacementCosts::default();
            let split = self.splits.entry(request.service.clone()).or_default();
            split.record(unshared_tokens(request, tokens), now);
            let of_service = |it: &&Endpoint| it.entry.service == *request.service;
            let is_emptied = |it: &Endpoint| self.emptied.is_emptied(&it.entry.failure_domain);
            let serving = self.endpoints.values().filter(of_service).filter(|it| !is_emptied(it));
            split.update_share(serving.count(), request.routers, costs.ms_per_token, now);
        }
        let choice = self.choose_endpoint(request, now, rng);
        if let Choice::Placed(placement) = &choice {
            self.add_request_load(&placement.endpoint, placement.load);
            self.record_retry(&placement.endpoint, now);
            self.record_sent(&placement.endpoint, now);
            self.record_cold_request(&placement.endpoint, now);
        }
        choice
    }

    fn choose_endpoint(
        &self,
        request: &PlacementRequest<'_>,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Choice {
        let of_service = |it: &&Endpoint| it.entry.service == *request.service;
        let in_service = |it: &&Endpoint| it.is_in_service();
        let accepting: Vec<&Endpoint> =
            self.endpoints.values().filter(of_service).filter(in_service).collect();
        if accepting.is_empty() {
            return Choice::NoEndpoint;
        }
        let serving: Vec<&Endpoint> = accepting.into_iter().filter(|it| self.is_open(it)).collect();
        if serving.is_empty() {
            return Choice::Emptied;
        }
        if are_unreached(&serving, now) {
            return Choice::Unreached;
        }
        let newest = newest_version(&serving);
        let replaced_cost_ms = |it: &Endpoint| {
            let is_new_stream = request.is_stream && request.version.is_none();
            let is_replaced = newest.is_some_and(|newest| *newest != it.entry.version);
            if is_new_stream && is_replaced { REPLACED_VERSION_COST_MS } else { 0.0 }
        };
        let serving: Vec<&Endpoint> = match request.version {
            Some(version) => {
                let has_version = |it: &&Endpoint| it.entry.version == *version && it.ended == 0;
                serving.into_iter().filter(has_version).collect()
            }
            None => serving,
        };
        if serving.is_empty() {
            return Choice::NoVersion;
        }
        let serving = if request.begins_stream {
            self.where_streams_may_begin(request.service, serving, now)
        } else {
            serving
        };
        if serving.is_empty() {
            return Choice::Unnamed;
        }
        let costs = PlacementCosts::default();
        let ids = endpoints_for_caching(&serving);
        let long_ids = self
            .splits
            .get(request.service)
            .map(|it| it.long_endpoints(&ids, now))
            .unwrap_or_default();
        let cache_owners =
            cache_owners_of(request.parts, if long_ids.is_empty() { &ids } else { &long_ids });
        let is_long = request.tokens.is_some_and(|it| is_long(unshared_tokens(request, it)));
        let mixing_cost_ms = |it: &Endpoint| {
            let is_for_long = long_ids.iter().any(|long| *long.id == it.entry.id);
            if long_ids.is_empty() || is_for_long == is_long {
                0.0
            } else if is_long {
                LONG_ON_SHORT_COST_MS
            } else {
                SHORT_ON_LONG_COST_MS
            }
        };
        let brittle_since = self.service_stated_at(request.service, now);
        let needs_warmth = self.cold_limits.contains_key(request.service);
        let with_capacity: Vec<Candidate<'_>> = serving
            .iter()
            .filter_map(|it| {
                let is_brittle = is_brittle(it, brittle_since);
                let mut candidate = evaluate(it, request, &cache_owners, &costs, is_brittle, now)?;
                candidate.cost_ms += mixing_cost_ms(it) + replaced_cost_ms(it);
                if needs_warmth && let Some(next) = it.warmth.next_request(now) {
                    candidate.cost_ms += COLD_COST_MS;
                    candidate.next_request = candidate.next_request.max(next);
                    candidate.is_cold = true;
                }
                Some(candidate)
            })
            .collect();
        let is_any_full = with_capacity.len() < serving.len();
        let (mut candidates, limited): (Vec<_>, Vec<_>) =
            with_capacity.into_iter().partition(|it| it.next_request == NextRequest::Now);
        if candidates.is_empty() && !limited.is_empty() {
            let times = limited.iter().filter_map(|it| match it.next_request {
                NextRequest::At(at) => Some(at),
                NextRequest::Now | NextRequest::Never => None,
            });
            if limited.iter().any(|it| it.is_cold) {
                metrics::counter!(telemetry::COLD_WAITS_TOTAL).increment(1);
            }
            return Choice::Limited(LimitedWait { next_at: times.min(), is_any_full });
        }
        if candidates.iter().any(|it| it.confirms_limit) {
            candidates.retain(|it| it.confirms_limit);
        }
        if let Some(suspect) = &request.suspect {
            let all_ids: Vec<&Arc<str>> = serving.iter().map(|it| &it.entry.id).collect();
            let taken = endpoints_of_suspects(&suspect.others, &all_ids);
            let rank = |it: &Candidate<'_>| {
                let id = &it.endpoint.entry.id;
                let is_free = !taken.contains(id);
                (!it.is_last_resort, is_free, rendezvous_hash(suspect.key, id))
            };
            return candidates.iter().max_by_key(|it| rank(it)).map_or(Choice::Full, place_on);
        }
        let Some(lowest) = candidates.iter().map(|it| it.cost_ms).min_by(f64::total_cmp) else {
            return Choice::Full;
        };
        let ties: Vec<&Candidate<'_>> =
            candidates.iter().filter(|it| it.cost_ms <= lowest + TIE_MS).collect();
        place_on(ties[rng.random_range(0..ties.len())])
    }
}

/// Returns the endpoints of other suspects; at most half of all.
fn endpoints_of_suspects<'a>(keys: &[u64], ids: &[&'a Arc<str>]) -> HashSet<&'a Arc<str>> {
    let mut taken = HashSet::default();
    for key in keys.iter().take(ids.len() / 2) {
        let free = ids.iter().filter(|id| !taken.contains(*id));
        taken.extend(free.max_by_key(|id| rendezvous_hash(*key, id)).copied());
    }
    taken
}

fn place_on(chosen: &Candidate<'_>) -> Choice {
    let entry = &chosen.endpoint.entry;
    Choice::Placed(Placement {
        endpoint: entry.id.clone(),
        service: entry.service.clone(),
        failure_domain: entry.failure_domain.clone(),
        address: entry.address,
        process: ProcessId { started_at_ms: entry.started_at_ms, ended: chosen.endpoint.ended },
        version: entry.version.clone(),
        is_brittle: chosen.is_brittle,
        load: chosen.load,
        running: chosen.total.requests,
        tokens_ahead: chosen.total.prompt_tokens + chosen.load.prompt_tokens,
        wait_ms: chosen.wait_ms,
    })
}

/// Returns the version of the endpoint that started last, if most endpoints have it: the others are
/// being replaced. `None` if there is no such version.
fn newest_version<'a>(serving: &[&'a Endpoint]) -> Option<&'a Arc<str>> {
    let newest = &serving.iter().max_by_key(|it| it.entry.started_at_ms)?.entry.version;
    let count = serving.iter().filter(|it| it.entry.version == *newest).count();
    (count * 2 > serving.len() && count < serving.len()).then_some(newest)
}

/// An endpoint among which prompts are distributed by rendezvous hashing.
#[derive(Debug, Clone, Copy)]
pub(super) struct HashedEndpoint<'a> {
    /// Its id.
    pub(super) id: &'a Arc<str>,
    /// Its weight, above zero: the share of the prompts that it gets is proportional to it.
    pub(super) weight: f64,
}

impl HashedEndpoint<'_> {
    /// Returns its rank for a key; the highest one is preferred. A changed weight moves only prompts
    /// from or to this endpoint.
    pub(super) fn rank(&self, key: u64) -> f64 {
        // 53 bits are what the mantissa holds.
        let uniform = ((rendezvous_hash(key, self.id) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
        -self.weight / uniform.ln()
    }
}

/// Returns the endpoints among which prompts are distributed by their parts and lengths: those that
/// state no rate limit, or all if each states one. A prompt takes a slow endpoint more time and
/// delays the answers there for longer, so that the weight falls with the square of its slowness.
fn endpoints_for_caching<'a>(serving: &[&'a Endpoint]) -> Vec<HashedEndpoint<'a>> {
    let hashed = |it: &&'a Endpoint| HashedEndpoint {
        id: &it.entry.id,
        weight: it.speed.usual_slowness().powi(-2),
    };
    let unlimited = serving.iter().filter(|it| it.limit_per_s().is_none());
    let endpoints: Vec<HashedEndpoint<'_>> = unlimited.map(hashed).collect();
    if endpoints.is_empty() { serving.iter().map(hashed).collect() } else { endpoints }
}

/// Returns the part that decides which endpoints cache a prompt: the last one that other
/// requests may share.
fn shared_part(parts: &[PromptPart]) -> Option<&PromptPart> {
    parts.len().checked_sub(2).and_then(|index| parts.get(index))
}

/// Returns the ids of the endpoints that cache the shared part of a prompt: the preferred one,
/// then the one used when the first is busy. They are chosen by rendezvous hashing of part and
/// endpoint, so that all routers agree without exchanging messages.
fn cache_owners_of(parts: &[PromptPart], endpoints: &[HashedEndpoint<'_>]) -> Vec<Arc<str>> {
    let Some(part) = shared_part(parts) else { return Vec::new() };
    let mut ranked: Vec<(f64, &Arc<str>)> =
        endpoints.iter().map(|it| (it.rank(part.id), it.id)).collect();
    ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then_with(|| b.1.cmp(a.1)));
    ranked.into_iter().take(2).map(|(_, id)| id.clone()).collect()
}

/// Returns the number of prompt tokens that belong to this request alone and so are in no cache.
fn unshared_tokens(request: &PlacementRequest<'_>, tokens: TokenDemand) -> u64 {
    request.parts.last().map_or(tokens.prompt, |it| it.tokens)
}

/// Returns the rendezvous hash of a prompt part and an endpoint; the same on every router.
pub(super) fn rendezvous_hash(part: u64, endpoint: &str) -> u64 {
    stable_hash(&[&part.to_le_bytes(), endpoint.as_bytes()])
}

/// Returns the cost of the request on an endpoint; `None` if the endpoint has no capacity left.
fn evaluate<'a>(
    endpoint: &'a Endpoint,
    request: &PlacementRequest<'_>,
    cache_owners: &[Arc<str>],
    costs: &PlacementCosts,
    is_brittle: bool,
    now: Timestamp,
) -> Option<Candidate<'a>> {
    let entry = &endpoint.entry;
    let total = endpoint.total_load(now);
    let capacity = request.spec.and_then(|it| it.capacity).unwrap_or(entry.capacity).max(1);
    let limit = (f64::from(capacity) * request.fill_share).ceil();
    // The owner of a brittle endpoint knows better whether it has room.
    if !is_brittle && f64::from(total.requests) >= limit {
        return None;
    }
    let load = load_of(request, cache_owners.iter().position(|it| *it == entry.id));
    let memory_limit = request.spec.and_then(|it| it.memory_tokens);
    if let Some(memory_limit) = memory_limit
        && total.requests > 0
        && (total.memory_tokens + load.memory_tokens) as f64 > memory_limit as f64 * MEMORY_SHARE
    {
        return None;
    }
    let slowness = endpoint.speed.slowness(now);
    let ms_per_token = costs.ms_per_token * slowness;
    let backlog_ms = (total.prompt_tokens + load.prompt_tokens) as f64 * ms_per_token;
    let wait_ms = backlog_ms + f64::from(total.requests) * costs.ms_per_request * slowness;
    let uncached_shared_tokens =
        load.prompt_tokens - request.tokens.map_or(0, |it| unshared_tokens(request, it));
    let mut cost_ms = wait_ms + uncached_shared_tokens as f64 * SHARED_TOKEN_COST_MS;
    cost_ms += (slowness - 1.0) * costs.base_ms;
    cost_ms += endpoint.health.failure_share(now) * FAILURE_COST_MS;
    if *entry.failure_domain != *request.failure_domain {
        cost_ms += OTHER_DOMAIN_COST_MS;
    }
    if total.requests >= endpoint.speed.capacity(capacity, now) {
        cost_ms += SLOWED_DOWN_COST_MS;
    }
    let is_last_resort =
        endpoint.health.is_paused(now) || request.failed_endpoints.contains(&entry.id);
    if is_last_resort {
        cost_ms += 10.0 * FAILURE_COST_MS;
    }
    Some(Candidate {
        endpoint,
        load,
        total,
        wait_ms,
        cost_ms,
        next_request: endpoint.next_request(is_brittle, now),
        is_brittle,
        is_cold: false,
        is_last_resort,
        confirms_limit: !is_last_resort
            && endpoint.rate.is_some_and(|it| it.needs_confirmation(now)),
    })
}

/// Returns the load that a request adds to an endpoint. `owner_rank` is the endpoint's position
/// among those that cache the shared part; the second one is assumed to have it cached about half
/// of the time.
fn load_of(request: &PlacementRequest<'_>, owner_rank: Option<usize>) -> Load {
    let Some(tokens) = request.tokens else {
        return Load { requests: 1, ..Load::default() };
    };
    let unshared = unshared_tokens(request, tokens);
    let shared = shared_part(request.parts).map_or(0, |it| it.tokens);
    let uncached = match owner_rank {
        Some(0) => 0,
        Some(_) => shared / 2,
        None => shared,
    };
    Load {
        requests: 1,
        prompt_tokens: unshared + uncached,
        memory_tokens: unshared + uncached + tokens.max_output,
    }
}
