//! Tests the placement of requests on endpoints that differ in speed, on a simple simulation of
//! engines, which process prompts one after the other.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    reason = "a test may panic, and its numbers are small"
)]

use std::{collections::BTreeMap, sync::Arc};

use rand::Rng as _;
use relay::{
    endpoints::{
        Choice, EndpointChange, EndpointRegistry, Placement, PlacementRequest, SpeedReport,
    },
    model::{EndpointEntry, EndpointPhase, PromptPart, TokenDemand},
    peers::SpeedMessage,
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

/// Time that an engine of usual speed takes for a prompt token, in milliseconds.
const MS_PER_TOKEN: f64 = 0.02;

/// Gap of an engine of usual speed between two events, in milliseconds.
const GAP_MS: f64 = 25.0;

/// Number of events of an answer.
const EVENTS: u64 = 20;

/// One router in front of engines that no other router uses.
struct Simulation {
    registry: EndpointRegistry,
    /// For each engine, its slowness and until when it processes prompts, in milliseconds.
    engines: BTreeMap<Arc<str>, (f64, f64)>,
    /// Running requests, each with the end of its prompt and its own end, in milliseconds.
    running: Vec<(u64, u64, Placement)>,
    rng: Rng,
    /// Whether the router learns.
    learns: bool,
    /// Work placed on each engine, by second, in milliseconds of its time.
    work: BTreeMap<(u64, Arc<str>), f64>,
    /// Times to the first event, each with the time of the request, in milliseconds.
    first_ms: Vec<(u64, f64)>,
}

impl Simulation {
    fn new(slowness: &[f64], learns: bool, seed: u64) -> Simulation {
        let mut registry = EndpointRegistry::default();
        let mut engines = BTreeMap::new();
        for (number, slowness) in slowness.iter().enumerate() {
            let id: Arc<str> = format!("engine-{number}").into();
            let entry = EndpointEntry {
                id: id.clone(),
                started_at_ms: 1,
                version: "v1".into(),
                service: "model".into(),
                address: "10.0.0.1:80".parse().unwrap(),
                failure_domain: "nadi".into(),
                capacity: 64,
                phase: EndpointPhase::Ready,
                cold_remaining: None,
            };
            registry.apply_change(EndpointChange::Written(entry), Timestamp::ZERO);
            engines.insert(id, (*slowness, 0.0));
        }
        Simulation {
            registry,
            engines,
            running: Vec::new(),
            rng: seeded_rng(seed),
            learns,
            work: BTreeMap::new(),
            first_ms: Vec::new(),
        }
    }

    /// Sends `per_s` requests a second from `from_ms` to `to_ms`, with prompts of 1,000 to 7,000
    /// tokens.
    fn run(&mut self, from_ms: u64, to_ms: u64, per_s: u64) {
        let interval = 1_000 / per_s;
        for millis in (from_ms..to_ms).step_by(interval as usize) {
            self.advance(millis);
            self.send(millis);
            if self.learns && millis / 300 != (millis - millis.min(interval)) / 300 {
                self.registry.learn_own_speeds(Timestamp::from_millis(millis));
            }
        }
    }

    fn send(&mut self, millis: u64) {
        let tokens = self.rng.random_range(1_000..7_000);
        let service: Arc<str> = "model".into();
        let parts = [PromptPart { id: self.rng.random(), tokens }];
        let request = PlacementRequest {
            service: &service,
            spec: None,
            tokens: Some(TokenDemand { prompt: tokens, max_output: 200 }),
            parts: &parts,
            failed_endpoints: &[],
            failure_domain: "nadi",
            routers: 1,
            begins_stream: false,
            version: None,
            is_stream: true,
            suspect: None,
            fill_share: 1.0,
        };
        let now = Timestamp::from_millis(millis);
        let Choice::Placed(placement) = self.registry.place(&request, now, &mut self.rng) else {
            panic!("refused at {millis} ms");
        };
        let (slowness, busy_until) = self.engines.get_mut(&placement.endpoint).unwrap();
        let prompt_ms = tokens as f64 * MS_PER_TOKEN * *slowness;
        *busy_until = busy_until.max(millis as f64) + prompt_ms;
        let first_ms = *busy_until - millis as f64 + 20.0 * *slowness;
        self.first_ms.push((millis, first_ms));
        *self.work.entry((millis / 1_000, placement.endpoint.clone())).or_default() += prompt_ms;
        let first_at = millis + first_ms as u64;
        let ends = first_at + (GAP_MS * *slowness) as u64 * EVENTS;
        self.running.push((first_at, ends, placement));
    }

    /// Ends the prompts and requests that are finished by `millis`.
    fn advance(&mut self, millis: u64) {
        let now = Timestamp::from_millis(millis);
        for (first_at, ends, mut placement) in std::mem::take(&mut self.running) {
            let slowness = self.engines[&placement.endpoint].0;
            if first_at <= millis && placement.load.prompt_tokens > 0 {
                self.registry.finish_prompt(&placement.endpoint, placement.load.prompt_tokens);
                let first_ms = self.first_ms.iter().rev();
                let sent_at = first_ms.clone().find(|it| it.0 + it.1 as u64 == first_at).unwrap();
                self.registry.record_first_event_time(&placement, sent_at.1, now);
                placement.load.prompt_tokens = 0;
            }
            if ends <= millis {
                for _ in 0..EVENTS / 5 {
                    self.registry.record_event_gap(&placement.endpoint, GAP_MS * slowness, now);
                }
                self.registry.remove_request_load(&placement.endpoint, placement.load);
            } else {
                self.running.push((first_at, ends, placement));
            }
        }
    }

    /// Returns the share of requests sent since `from_ms` whose first event came within 250 ms.
    fn on_time(&self, from_ms: u64) -> f64 {
        let counted = self.first_ms.iter().filter(|it| it.0 >= from_ms);
        let on_time = counted.clone().filter(|it| it.1 <= 250.0).count();
        on_time as f64 / counted.count() as f64
    }

    /// Returns the seconds since `from_s` in which an engine got more than 1.2 times the work that it
    /// takes within a second.
    fn overloaded_seconds(&self, from_s: u64) -> Vec<(u64, Arc<str>)> {
        let counted = self.work.iter().filter(|((second, _), _)| *second >= from_s);
        counted.filter(|(_, work)| **work > 1_200.0).map(|(key, _)| key.clone()).collect()
    }
}

fn three_speeds() -> Vec<f64> {
    (0..12).map(|it| if it % 3 == 2 { 1.7 } else { 0.7 }).collect()
}

/// Three speeds in one fleet, at four fifths of the prompt work that they take together: from the
/// third second on, no engine gets over 1.2 of what it takes in two seconds in a row, and more
/// answers are on time than without learning.
#[test]
fn three_speeds_get_the_work_that_they_take() {
    let mut learning = Simulation::new(&three_speeds(), true, 1);
    learning.run(0, 20_000, 125);
    let overloaded = learning.overloaded_seconds(3);
    let in_a_row =
        overloaded.iter().filter(|(second, id)| overloaded.contains(&(second + 1, id.clone())));
    assert_eq!(in_a_row.count(), 0, "{overloaded:?}");
    let mut unaware = Simulation::new(&three_speeds(), false, 1);
    unaware.run(0, 20_000, 125);
    let (with, without) = (learning.on_time(3_000), unaware.on_time(3_000));
    assert!(with >= without, "{with} {without}");
    assert!(with >= 0.9, "{with} {without}");
}

/// All engines are equally fast: learning changes nothing for callers.
#[test]
fn equal_endpoints_answer_as_without_learning() {
    let mut learning = Simulation::new(&[1.0; 12], true, 2);
    learning.run(0, 15_000, 100);
    let mut unaware = Simulation::new(&[1.0; 12], false, 2);
    unaware.run(0, 15_000, 100);
    let (with, without) = (learning.on_time(0), unaware.on_time(0));
    assert!((with - without).abs() <= 0.02, "{with} {without}");
    assert_eq!(learning.registry.count_uneven(), 0);
}

/// An engine turns slow by a factor of three for 6 s and recovers: from two seconds after the change
/// on, it is not overloaded for two seconds in a row, and it gets work again afterwards.
#[test]
fn engine_that_turns_slow_is_relieved_and_used_again() {
    let mut simulation = Simulation::new(&[1.0; 12], true, 3);
    simulation.run(0, 6_000, 100);
    let id: Arc<str> = "engine-4".into();
    simulation.engines.get_mut(&id).unwrap().0 = 3.0;
    simulation.run(6_000, 12_000, 100);
    simulation.engines.get_mut(&id).unwrap().0 = 1.0;
    simulation.run(12_000, 20_000, 100);
    let overloaded = simulation.overloaded_seconds(8);
    let in_a_row =
        overloaded.iter().filter(|(second, id)| overloaded.contains(&(second + 1, id.clone())));
    assert_eq!(in_a_row.count(), 0, "{overloaded:?}");
    let work =
        |second: u64| simulation.work.get(&(second, id.clone())).copied().unwrap_or_default();
    let mean_of = |seconds: std::ops::Range<u64>| seconds.map(work).sum::<f64>() / 4.0;
    assert!(mean_of(16..20) >= mean_of(2..6) * 0.6, "{} {}", mean_of(16..20), mean_of(2..6));
}

/// A router that starts hears the reports of 14 others and knows the slow engines after a second.
#[test]
fn router_that_starts_knows_the_slow_endpoints() {
    let mut others = Simulation::new(&three_speeds(), true, 4);
    let mut starting = Simulation::new(&three_speeds(), true, 5);
    for round in 10..14_u64 {
        others.run((round - 1) * 300, round * 300, 125);
        let reports = others.registry.speed_reports(Timestamp::from_millis(round * 300));
        let message = SpeedMessage::from_reports(&reports).unwrap();
        for _ in 0..14 {
            let now = Timestamp::from_millis((round - 10) * 300);
            starting.registry.apply_peer_speeds(message.to_reports(), now);
        }
    }
    let now = Timestamp::from_millis(900);
    for (id, (slowness, _)) in &starting.engines {
        let known = starting.registry.slowness(id, now).unwrap();
        assert!((known > 1.0) == (*slowness > 1.0), "{id}: {known} instead of {slowness}");
    }
}

/// A report whose lists differ in length, or with keys of unknown endpoints, changes nothing.
#[test]
fn malformed_reports_change_nothing() {
    let mut simulation = Simulation::new(&three_speeds(), true, 6);
    simulation.run(0, 3_000, 125);
    let reports = simulation.registry.speed_reports(Timestamp::from_millis(3_000));
    let mut message = SpeedMessage::from_reports(&reports).unwrap();
    message.tenths.pop();
    assert_eq!(message.to_reports(), []);
    let unknown: Vec<SpeedReport> =
        reports.iter().map(|it| SpeedReport { key: it.key.wrapping_add(1), ..*it }).collect();
    let before = simulation.registry.slowness("engine-1", Timestamp::from_millis(3_000));
    simulation.registry.apply_peer_speeds(unknown, Timestamp::from_millis(3_000));
    assert_eq!(simulation.registry.slowness("engine-1", Timestamp::from_millis(3_000)), before);
}
