//! Tests the placement of requests under several load patterns on a simple simulation of engines,
//! which process prompts one after the other at a fixed rate.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng as _;
use relay::{
    endpoints::{Choice, EndpointChange, EndpointRegistry, Placement, PlacementRequest},
    model::{EndpointEntry, EndpointPhase, PromptPart, ServiceSpec, TokenDemand},
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

const TOKENS_PER_MS: f64 = 32.0;
const ENGINES: usize = 18;

/// A simulated engine: the time until which it processes prompts, the prompt parts that it has
/// cached, each with the time of its last use, and the number of its running requests.
#[derive(Default)]
struct Engine {
    busy_until_ms: f64,
    cached: BTreeMap<u64, u64>,
    requests: u32,
}

/// A single router in front of simulated engines that no other router uses.
struct Simulation {
    registry: EndpointRegistry,
    engines: BTreeMap<Arc<str>, Engine>,
    /// Running requests, each with the end of its prompt and its own end, in milliseconds.
    running: Vec<(u64, Placement, Option<u64>)>,
    rng: Rng,
    spec: ServiceSpec,
    /// Tokens of shared parts that an engine processed because it did not have them cached.
    reprocessed_tokens: u64,
    /// Times to the first token, in milliseconds.
    first_ms: Vec<f64>,
    /// Number of placements per engine.
    placed: BTreeMap<Arc<str>, usize>,
    refused: usize,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut registry = EndpointRegistry::default();
        let mut engines = BTreeMap::new();
        for number in 0..ENGINES {
            let id: Arc<str> = format!("engine-{number}").into();
            let entry = EndpointEntry {
                id: id.clone(),
                started_at_ms: 1,
                version: "v1".into(),
                service: "model".into(),
                address: "10.0.0.1:80".parse().unwrap(),
                failure_domain: ["zlin", "vsetin", "brod"][number % 3].into(),
                capacity: 96,
                phase: EndpointPhase::Ready,
                cold_remaining: None,
            };
            registry.apply_change(EndpointChange::Written(entry), Timestamp::ZERO);
            engines.insert(id, Engine::default());
        }
        let spec = ServiceSpec {
            max_connections: 500,
            capacity: Some(96),
            memory_tokens: Some(250_000),
            tokens_per_event: Some(3),
            cold_start: None,
        };
        Simulation {
            registry,
            engines,
            running: Vec::new(),
            rng: seeded_rng(seed),
            spec,
            reprocessed_tokens: 0,
            first_ms: Vec::new(),
            placed: BTreeMap::new(),
            refused: 0,
        }
    }

    /// Sends a request whose prompt has a shared part and `own` tokens of its own. Returns the
    /// chosen engine; `None` if the request is refused.
    fn send(&mut self, millis: u64, shared: PromptPart, own: u64) -> Option<Arc<str>> {
        self.finish_until(millis);
        let parts = [shared, PromptPart { id: self.rng.random(), tokens: own }];
        let service: Arc<str> = "model".into();
        let request = PlacementRequest {
            service: &service,
            spec: Some(&self.spec),
            tokens: Some(TokenDemand { prompt: shared.tokens + own, max_output: 200 }),
            parts: &parts,
            failed_endpoints: &[],
            failure_domain: "zlin",
            routers: 1,
            begins_stream: false,
            version: None,
            is_stream: false,
            suspect: None,
            fill_share: 1.0,
        };
        let now = Timestamp::from_millis(millis);
        let Choice::Placed(placement) = self.registry.place(&request, now, &mut self.rng) else {
            self.refused += 1;
            return None;
        };
        let engine = self.engines.get_mut(&placement.endpoint).unwrap();
        let is_cached = engine.cached.insert(shared.id, millis).is_some();
        let has_placements = self.placed.values().sum::<usize>() > 0;
        if !is_cached && has_placements {
            self.reprocessed_tokens += shared.tokens;
        }
        let tokens = own + if is_cached { 0 } else { shared.tokens };
        let start = engine.busy_until_ms.max(millis as f64);
        engine.busy_until_ms = start + tokens as f64 / TOKENS_PER_MS;
        engine.requests += 1;
        self.first_ms.push(engine.busy_until_ms - millis as f64);
        *self.placed.entry(placement.endpoint.clone()).or_default() += 1;
        let prompt_ends = engine.busy_until_ms as u64;
        let endpoint = placement.endpoint.clone();
        self.running.push((prompt_ends, placement, Some(prompt_ends + 1_000)));
        Some(endpoint)
    }

    /// Ends the prompts and requests that are finished by `millis`.
    fn finish_until(&mut self, millis: u64) {
        let mut running = Vec::new();
        for (prompt_ends, mut placement, ends) in std::mem::take(&mut self.running) {
            if prompt_ends <= millis && placement.load.prompt_tokens > 0 {
                self.registry.finish_prompt(&placement.endpoint, placement.load.prompt_tokens);
                placement.load.prompt_tokens = 0;
            }
            if ends.is_some_and(|it| it <= millis) {
                self.registry.remove_request_load(&placement.endpoint, placement.load);
                self.engines.get_mut(&placement.endpoint).unwrap().requests -= 1;
            } else {
                running.push((prompt_ends, placement, ends));
            }
        }
        self.running = running;
    }

    fn first_ms_quantile(&self, share: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

/// Long prompts with many shared parts, at 40 requests per second for 20 seconds.
#[test]
fn shared_parts_stay_where_they_are_cached() {
    let mut simulation = Simulation::new(1);
    for step in 0..800 {
        let id = simulation.rng.random_range(0..200);
        simulation.send(step * 25, part(id, 4_000), 2_900);
    }
    let processed_once = 200 * 4_000;
    assert!(
        simulation.reprocessed_tokens <= 2 * processed_once,
        "{}",
        simulation.reprocessed_tokens
    );
    assert!(simulation.first_ms_quantile(0.95) < 1_000.0, "{}", simulation.first_ms_quantile(0.95));
}

/// A third of the requests has the same shared part: the endpoint that caches it must not become
/// a bottleneck.
#[test]
fn popular_part_is_spread_before_its_requests_queue() {
    let mut simulation = Simulation::new(2);
    for step in 0..800 {
        let is_popular = simulation.rng.random_bool(0.33);
        let id = if is_popular { 7 } else { simulation.rng.random_range(100..300) };
        simulation.send(step * 25, part(id, 4_000), 2_900);
    }
    assert!(simulation.first_ms_quantile(0.95) < 1_000.0, "{}", simulation.first_ms_quantile(0.95));
    assert_eq!(simulation.refused, 0);
}

/// Mixed long and short prompts: short ones are placed on engines without long ones.
#[test]
fn long_prompts_stay_away_from_short_ones() {
    let mut simulation = Simulation::new(3);
    let (mut long, mut short) = (BTreeMap::new(), BTreeMap::new());
    for step in 0..1_600 {
        let id = simulation.rng.random_range(0..200);
        let is_long = step % 3 == 0;
        let tokens = if is_long { (4_000, 2_900) } else { (80, 500) };
        let endpoint = simulation.send(step * 12, part(id, tokens.0), tokens.1).unwrap();
        if step > 400 {
            *if is_long { &mut long } else { &mut short }.entry(endpoint).or_insert(0) += 1;
        }
    }
    let all: usize = short.values().sum();
    let mixed: usize =
        short.iter().filter(|(id, _)| long.contains_key(*id)).map(|(_, count)| count).sum();
    assert!(mixed * 10 <= all, "{mixed} of {all} short prompts on engines with long ones");
}

/// Twice the usual rate for a while: prompts wait, but most within the target, and no engine gets
/// far more requests than the others.
#[test]
fn burst_is_spread_over_all_engines() {
    let mut simulation = Simulation::new(4);
    for step in 0..1_000 {
        let millis = if step < 400 { step * 25 } else { 10_000 + (step - 400) * 12 };
        let id = simulation.rng.random_range(0..200);
        simulation.send(millis, part(id, 4_000), 2_900);
    }
    let most = simulation.placed.values().max().copied().unwrap();
    assert!(most <= 3 * 1_000 / ENGINES, "{most} on one engine");
    assert!(simulation.first_ms_quantile(0.9) < 1_000.0, "{}", simulation.first_ms_quantile(0.9));
}

/// More requests than fit into the memory of all engines: the others are refused instead of
/// preempting running requests.
#[test]
fn engine_memory_is_not_overcommitted() {
    let mut simulation = Simulation::new(5);
    for _ in 0..2_000 {
        let id = simulation.rng.random();
        simulation.send(0, part(id, 4_000), 8_000);
    }
    let per_engine = simulation.placed.values().max().copied().unwrap();
    assert!(per_engine * 8_000 <= 250_000, "{per_engine}");
    assert!(simulation.refused > 0);
}
