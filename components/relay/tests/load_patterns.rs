//! Where work goes under load, pattern by pattern, on a small model of engines: a prompt is
//! processed at a fixed rate, one after the other; requests that run beside it pause.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test ends where it cannot go on, and its numbers are small"
)]

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng as _;
use relay::{
    endpoints::{Choice, EndpointChange, EndpointRegistry, Need, Placement},
    model::{EndpointEntry, EndpointPhase, PromptPart, ServiceSpec, TokenDemand},
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

const TOKENS_PER_MS: f64 = 32.0;
const ENGINES: usize = 18;

/// An engine of the model: until when it processes prompts, and what it has cached.
#[derive(Default)]
struct Engine {
    busy_until_ms: f64,
    cached: BTreeMap<u64, u64>,
    requests: u32,
}

/// One router before engines that no other router uses.
struct Model {
    book: EndpointRegistry,
    engines: BTreeMap<Arc<str>, Engine>,
    running: Vec<(u64, Placement, Option<u64>)>,
    rng: Rng,
    spec: ServiceSpec,
    /// Shared tokens that were processed again.
    read_again: u64,
    /// Times to the first token.
    first_ms: Vec<f64>,
    /// Placements by engine.
    placed: BTreeMap<Arc<str>, usize>,
    refused: usize,
}

impl Model {
    fn new(seed: u64) -> Model {
        let mut book = EndpointRegistry::default();
        let mut engines = BTreeMap::new();
        for number in 0..ENGINES {
            let id: Arc<str> = format!("engine-{number}").into();
            let entry = EndpointEntry {
                id: id.clone(),
                started_at_ms: 1,
                service: "model".into(),
                address: "10.0.0.1:80".parse().unwrap(),
                failure_domain: ["zlin", "vsetin", "brod"][number % 3].into(),
                capacity: 96,
                phase: EndpointPhase::Ready,
            };
            book.apply_change(EndpointChange::Written(entry), Timestamp::ZERO);
            engines.insert(id, Engine::default());
        }
        let spec = ServiceSpec {
            max_connections: 500,
            capacity: Some(96),
            memory_tokens: Some(250_000),
            tokens_per_event: Some(3),
        };
        Model {
            book,
            engines,
            running: Vec::new(),
            rng: seeded_rng(seed),
            spec,
            read_again: 0,
            first_ms: Vec::new(),
            placed: BTreeMap::new(),
            refused: 0,
        }
    }

    /// Sends a request whose prompt has a shared part and one of its own.
    fn send(&mut self, millis: u64, shared: PromptPart, own: u64) -> Option<Arc<str>> {
        self.end_due(millis);
        let parts = [shared, PromptPart { id: self.rng.random(), tokens: own }];
        let service: Arc<str> = "model".into();
        let need = Need {
            service: &service,
            spec: Some(&self.spec),
            tokens: Some(TokenDemand { prompt: shared.tokens + own, max_output: 200 }),
            parts: &parts,
            avoid: &[],
            failure_domain: "zlin",
            routers: 1,
            fill_share: 1.0,
        };
        let now = Timestamp::from_millis(millis);
        let Choice::Place(placement) = self.book.place(&need, now, &mut self.rng) else {
            self.refused += 1;
            return None;
        };
        let engine = self.engines.get_mut(&placement.endpoint).unwrap();
        let is_cached = engine.cached.insert(shared.id, millis).is_some();
        let was_read = self.placed.values().sum::<usize>() > 0;
        if !is_cached && was_read {
            self.read_again += shared.tokens;
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

    /// Ends prompts and requests whose time has come.
    fn end_due(&mut self, millis: u64) {
        let mut running = Vec::new();
        for (prompt_ends, mut placement, ends) in std::mem::take(&mut self.running) {
            if prompt_ends <= millis && placement.load.prompt_tokens > 0 {
                self.book.end_prompt(&placement.endpoint, placement.load.prompt_tokens);
                placement.load.prompt_tokens = 0;
            }
            if ends.is_some_and(|it| it <= millis) {
                self.book.end(&placement.endpoint, placement.load);
                self.engines.get_mut(&placement.endpoint).unwrap().requests -= 1;
            } else {
                running.push((prompt_ends, placement, ends));
            }
        }
        self.running = running;
    }

    fn first_ms(&self, share: f64) -> f64 {
        let mut sorted = self.first_ms.clone();
        sorted.sort_by(f64::total_cmp);
        sorted[((sorted.len() - 1) as f64 * share) as usize]
    }
}

fn part(id: u64, tokens: u64) -> PromptPart {
    PromptPart { id, tokens }
}

/// Long prompts with many shared parts, forty a second for twenty seconds.
#[test]
fn shared_parts_stay_where_they_are_cached() {
    let mut model = Model::new(1);
    for step in 0..800 {
        let id = model.rng.random_range(0..200);
        model.send(step * 25, part(id, 4_000), 2_900);
    }
    let processed_once = 200 * 4_000;
    assert!(model.read_again <= 2 * processed_once, "{}", model.read_again);
    assert!(model.first_ms(0.95) < 1_000.0, "{}", model.first_ms(0.95));
}

/// One part gets a third of the requests: its home must not become the bottleneck.
#[test]
fn hot_key_spreads_before_it_queues() {
    let mut model = Model::new(2);
    for step in 0..800 {
        let is_hot = model.rng.random_bool(0.33);
        let id = if is_hot { 7 } else { model.rng.random_range(100..300) };
        model.send(step * 25, part(id, 4_000), 2_900);
    }
    assert!(model.first_ms(0.95) < 1_000.0, "{}", model.first_ms(0.95));
    assert_eq!(model.refused, 0);
}

/// Long and short prompts together: the short ones run on engines without long ones.
#[test]
fn long_prompts_stay_away_from_short_ones() {
    let mut model = Model::new(3);
    let (mut long, mut short) = (BTreeMap::new(), BTreeMap::new());
    for step in 0..1_600 {
        let id = model.rng.random_range(0..200);
        let is_long = step % 3 == 0;
        let tokens = if is_long { (4_000, 2_900) } else { (80, 500) };
        let endpoint = model.send(step * 12, part(id, tokens.0), tokens.1).unwrap();
        if step > 400 {
            *if is_long { &mut long } else { &mut short }.entry(endpoint).or_insert(0) += 1;
        }
    }
    let all: usize = short.values().sum();
    let beside_long: usize =
        short.iter().filter(|(id, _)| long.contains_key(*id)).map(|(_, count)| count).sum();
    assert!(beside_long * 10 <= all, "{beside_long} of {all} short prompts beside long ones");
}

/// Twice the usual rate for a while: prompts wait, but none far beyond the target.
#[test]
fn burst_is_spread_over_all_engines() {
    let mut model = Model::new(4);
    for step in 0..1_000 {
        let millis = if step < 400 { step * 25 } else { 10_000 + (step - 400) * 12 };
        let id = model.rng.random_range(0..200);
        model.send(millis, part(id, 4_000), 2_900);
    }
    let most = model.placed.values().max().copied().unwrap();
    assert!(most <= 3 * 1_000 / ENGINES, "{most} on one engine");
    assert!(model.first_ms(0.9) < 1_000.0, "{}", model.first_ms(0.9));
}

/// More requests than the memory of all engines holds: the rest is refused, not preempted.
#[test]
fn memory_of_engines_is_not_promised_twice() {
    let mut model = Model::new(5);
    for _ in 0..2_000 {
        let id = model.rng.random();
        model.send(0, part(id, 4_000), 8_000);
    }
    let per_engine = model.placed.values().max().copied().unwrap();
    assert!(per_engine * 8_000 <= 250_000, "{per_engine}");
    assert!(model.refused > 0);
}
