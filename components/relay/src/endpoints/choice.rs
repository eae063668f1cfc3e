//! Choice of an endpoint for a request.

use std::{net::SocketAddr, sync::Arc};

use rand::Rng as _;
use types::Timestamp;
use utils::{Rng, stable_hash};

use super::{
    book::EndpointRegistry,
    endpoint::Endpoint,
    load::Load,
    prompt_split::{PROMPT_TOKENS_PER_MS, is_long},
};
use crate::model::{EndpointPhase, PromptPart, ServiceSpec, TokenDemand};

/// Estimated delay that each running request adds to another, in milliseconds.
const DELAY_PER_REQUEST_MS: f64 = 1.5;

/// Delay that makes up for the price of traffic between failure domains, in milliseconds.
const OTHER_DOMAIN_MS: f64 = 12.0;

/// Delay that an endpoint whose requests all fail is worth, in milliseconds.
const FAILURE_MS: f64 = 1_500.0;

/// Delay that a short prompt on an endpoint of long ones is worth, in milliseconds: about
/// one pause between its tokens.
const SHORT_BESIDE_LONG_MS: f64 = 150.0;

/// Delay that a long prompt on an endpoint of short ones is worth, in milliseconds: a pause
/// for each of the requests that run there.
const LONG_BESIDE_SHORT_MS: f64 = 450.0;

/// Delay that a token of a shared part is worth which an endpoint has to process again, in
/// milliseconds, beside its own time: the work delays all other requests there, and the
/// part takes the place of another one in the cache.
const SHARED_TOKEN_MS: f64 = 0.15;

/// Share of an engine's memory up to which requests are placed on it.
const MEMORY_SHARE: f64 = 0.92;

/// Differences of cost below this are drawn at random, in milliseconds.
const TIE_MS: f64 = 2.0;

/// What a request needs of an endpoint.
#[derive(Debug, Clone)]
pub struct Need<'a> {
    /// Service.
    pub service: &'a Arc<str>,
    /// What the desired state says of the service.
    pub spec: Option<&'a ServiceSpec>,
    /// Declared tokens, for a model.
    pub tokens: Option<TokenDemand>,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Endpoints that failed the request.
    pub avoid: &'a [Arc<str>],
    /// Failure domain of this router.
    pub failure_domain: &'a str,
    /// Routers that place requests like this one.
    pub routers: usize,
    /// Share of an endpoint's places that requests of this urgency may fill, from 0 to 1.
    pub fill_share: f64,
}

/// A place on an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Endpoint.
    pub endpoint: Arc<str>,
    /// Address.
    pub address: SocketAddr,
    /// Load of the request, to be given back when it ends.
    pub load: Load,
    /// Estimated time before the first token beyond the endpoint's own, in milliseconds.
    pub wait_ms: f64,
}

/// Outcome of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// The request has a place.
    Place(Placement),
    /// All endpoints are full.
    Full,
    /// No endpoint serves it.
    Absent,
}

/// An endpoint with its cost for a request.
struct Candidate<'a> {
    /// Endpoint.
    endpoint: &'a Endpoint,
    /// Load of the request there.
    load: Load,
    /// Estimated wait, in milliseconds.
    wait_ms: f64,
    /// What the choice compares, in milliseconds.
    cost_ms: f64,
}

impl EndpointRegistry {
    /// Chooses an endpoint for a request and notes its load there.
    pub fn place(&mut self, need: &Need<'_>, now: Timestamp, rng: &mut Rng) -> Choice {
        if let Some(tokens) = need.tokens {
            let split = self.splits.entry(need.service.clone()).or_default();
            split.note(own_tokens(need, tokens), now);
            let serving = self.endpoints.values().filter(|it| it.entry.service == *need.service);
            split.adapt(serving.count(), need.routers, now);
        }
        let choice = self.choose(need, now, rng);
        if let Choice::Place(placement) = &choice {
            self.start(&placement.endpoint, placement.load);
        }
        choice
    }

    fn choose(&self, need: &Need<'_>, now: Timestamp, rng: &mut Rng) -> Choice {
        let of_service = |it: &&Endpoint| it.entry.service == *need.service;
        let in_service = |it: &&Endpoint| it.entry.phase == EndpointPhase::Ready;
        let serving: Vec<&Endpoint> =
            self.endpoints.values().filter(of_service).filter(in_service).collect();
        if serving.is_empty() {
            return Choice::Absent;
        }
        let ids: Vec<&Arc<str>> = serving.iter().map(|it| &it.entry.id).collect();
        let long_ids = self
            .splits
            .get(need.service)
            .map(|it| it.long_endpoints(&ids, now))
            .unwrap_or_default();
        let homes = homes_of(need.parts, if long_ids.is_empty() { &ids } else { &long_ids });
        let is_long = need.tokens.is_some_and(|it| is_long(own_tokens(need, it)));
        let other_kind_ms = |it: &Endpoint| {
            if long_ids.is_empty() || long_ids.contains(&&it.entry.id) == is_long {
                0.0
            } else if is_long {
                LONG_BESIDE_SHORT_MS
            } else {
                SHORT_BESIDE_LONG_MS
            }
        };
        let candidates: Vec<Candidate<'_>> = serving
            .iter()
            .filter_map(|it| {
                let mut candidate = assess(it, need, &homes, now)?;
                candidate.cost_ms += other_kind_ms(it);
                Some(candidate)
            })
            .collect();
        let Some(lowest) = candidates.iter().map(|it| it.cost_ms).min_by(f64::total_cmp) else {
            return Choice::Full;
        };
        let ties: Vec<&Candidate<'_>> =
            candidates.iter().filter(|it| it.cost_ms <= lowest + TIE_MS).collect();
        let chosen = ties[rng.random_range(0..ties.len())];
        Choice::Place(Placement {
            endpoint: chosen.endpoint.entry.id.clone(),
            address: chosen.endpoint.entry.address,
            load: chosen.load,
            wait_ms: chosen.wait_ms,
        })
    }
}

/// Returns the part that decides where a prompt's cache is: the last one that other
/// requests share.
fn shared_part(parts: &[PromptPart]) -> Option<&PromptPart> {
    parts.len().checked_sub(2).and_then(|index| parts.get(index))
}

/// Returns the endpoints that keep the shared part of a prompt, the first of them before
/// the one that takes over where the first is busy: those with the highest hashes of part
/// and endpoint, so that all routers find the same without a message.
fn homes_of(parts: &[PromptPart], ids: &[&Arc<str>]) -> Vec<Arc<str>> {
    let Some(part) = shared_part(parts) else { return Vec::new() };
    let mut ranked: Vec<(u64, &Arc<str>)> = ids.iter().map(|id| (rank(part.id, id), *id)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(2).map(|(_, id)| id.clone()).collect()
}

/// Returns the tokens of a prompt that are in no cache.
fn own_tokens(need: &Need<'_>, tokens: TokenDemand) -> u64 {
    need.parts.last().map_or(tokens.prompt, |it| it.tokens)
}

/// Returns the rank of an endpoint for a part; the same on every router.
pub(super) fn rank(part: u64, endpoint: &str) -> u64 {
    stable_hash(&[&part.to_le_bytes(), endpoint.as_bytes()])
}

/// Returns the cost of the request on an endpoint; `None` where the endpoint has no room.
fn assess<'a>(
    endpoint: &'a Endpoint,
    need: &Need<'_>,
    homes: &[Arc<str>],
    now: Timestamp,
) -> Option<Candidate<'a>> {
    let entry = &endpoint.entry;
    let total = endpoint.total_load(now);
    let capacity = need.spec.and_then(|it| it.capacity).unwrap_or(entry.capacity).max(1);
    let places = (f64::from(capacity) * need.fill_share).ceil();
    if f64::from(total.requests) >= places {
        return None;
    }
    let load = load_of(need, homes.iter().position(|it| *it == entry.id));
    let memory = need.spec.and_then(|it| it.memory_tokens);
    if let Some(memory) = memory
        && total.requests > 0
        && (total.memory_tokens + load.memory_tokens) as f64 > memory as f64 * MEMORY_SHARE
    {
        return None;
    }
    let backlog = (total.prompt_tokens + load.prompt_tokens) as f64 / PROMPT_TOKENS_PER_MS;
    let wait_ms = backlog + f64::from(total.requests) * DELAY_PER_REQUEST_MS;
    let shared_tokens = load.prompt_tokens - need.tokens.map_or(0, |it| own_tokens(need, it));
    let mut cost_ms = wait_ms + shared_tokens as f64 * SHARED_TOKEN_MS;
    cost_ms += endpoint.health.failure_share(now) * FAILURE_MS;
    if *entry.failure_domain != *need.failure_domain {
        cost_ms += OTHER_DOMAIN_MS;
    }
    if endpoint.health.is_paused(now) || need.avoid.contains(&entry.id) {
        cost_ms += 10.0 * FAILURE_MS;
    }
    Some(Candidate { endpoint, load, wait_ms, cost_ms })
}

/// Returns the load of a request on an endpoint that is the home of its shared part of this
/// rank, if it is one. The second home has the part cached about half of the time.
fn load_of(need: &Need<'_>, home_rank: Option<usize>) -> Load {
    let Some(tokens) = need.tokens else {
        return Load { requests: 1, ..Load::default() };
    };
    let own = own_tokens(need, tokens);
    let shared = shared_part(need.parts).map_or(0, |it| it.tokens);
    let missing = match home_rank {
        Some(0) => 0,
        Some(_) => shared / 2,
        None => shared,
    };
    Load {
        requests: 1,
        prompt_tokens: own + missing,
        memory_tokens: own + missing + tokens.max_output,
    }
}
