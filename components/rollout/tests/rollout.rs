//! Tests of rollouts with simulated engines.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};

use config::Config;
use engine_api::{LoadState, LoadedModel, OrderKind};
use rollout::{EndpointOrder, EndpointReport, OrderResult, Rollout, RolloutStatus};
use serde_json::json;
use types::{EndpointName, ModelVersion, Timestamp};

/// Simulated engines: two in each of three failure domains, each with room for `room` versions.
struct Engines {
    reports: BTreeMap<EndpointName, EndpointReport>,
    room: usize,
    failing: Option<(EndpointName, ModelVersion)>,
    orders: usize,
    fencing: u64,
}

fn name(text: &str) -> EndpointName {
    EndpointName::new(text).unwrap()
}

fn config(versions: &[&str], preferred: &[&str], checks_fencing: bool) -> Config {
    let mut endpoints = serde_json::Map::new();
    for (index, domain) in ["a", "a", "b", "b", "c", "c"].iter().enumerate() {
        let endpoint = json!({ "address": format!("127.0.0.1:{}", index + 1),
            "failure_domain": domain, "checks_fencing": checks_fencing });
        endpoints.insert(format!("{domain}-{index}"), endpoint);
    }
    let names: Vec<_> = endpoints.keys().cloned().collect();
    serde_json::from_value(json!({
        "endpoints": endpoints,
        "models": { "m": { "versions": versions, "endpoints": names, "context_tokens": 9 } },
        "accounts": { "coop": { "models": { "m": { "model": "m", "versions": preferred } } } },
    }))
    .unwrap()
}

impl Engines {
    fn new(cfg: &Config, room: usize) -> Engines {
        let reports = cfg.endpoints.keys().map(|name| (name.clone(), EndpointReport::default()));
        Engines { reports: reports.collect(), room, failing: None, orders: 0, fencing: 0 }
    }

    fn execute(&mut self, order: &EndpointOrder) -> OrderResult {
        self.orders += 1;
        let models = &mut self.reports.get_mut(&order.endpoint).unwrap().models;
        match &order.kind {
            OrderKind::Load { model, version } => {
                if models.iter().any(|it| it.version == *version) {
                    return OrderResult::Accepted;
                }
                if models.len() >= self.room {
                    return OrderResult::Refused;
                }
                models.push(LoadedModel {
                    model: model.clone(),
                    version: version.clone(),
                    adapters: Vec::new(),
                    state: LoadState::Loading,
                });
            }
            OrderKind::Unload { version, .. } => models.retain(|it| it.version != *version),
            OrderKind::LoadAdapter { .. } | OrderKind::SetRole { .. } => {}
        }
        OrderResult::Accepted
    }

    fn finish_loads(&mut self) {
        for (endpoint, report) in &mut self.reports {
            for loaded in &mut report.models {
                let placement = Some((endpoint.clone(), loaded.version.clone()));
                if loaded.state == LoadState::Loading {
                    let is_failing = self.failing == placement;
                    loaded.state = if is_failing { LoadState::Failed } else { LoadState::Ready };
                }
            }
        }
    }

    fn ready(&self, version: &str) -> usize {
        let is_ready =
            |it: &&LoadedModel| it.version.as_str() == version && it.state == LoadState::Ready;
        self.reports.values().filter(|report| report.models.iter().any(|it| is_ready(&it))).count()
    }
}

/// Runs the controller until it sends no more orders. Returns the status, a line for each
/// round with orders, and the minimum number of endpoints that served any permitted version.
fn run_until_idle(
    rollout: &mut Rollout,
    cfg: &Config,
    engines: &mut Engines,
    start: u64,
) -> (RolloutStatus, String, usize) {
    let mut lines = String::new();
    let mut min_serving = usize::MAX;
    let mut idle = 0;
    for round in 0..200_u64 {
        let now = Timestamp::from_millis(start + round * 11_000);
        let (orders, status) = rollout.decide(cfg, &engines.reports, now);
        let mut texts = Vec::new();
        for order in &orders {
            let result = engines.execute(order);
            rollout.on_result(order, result, now);
            let verb = match order.kind {
                OrderKind::Load { .. } => "load",
                OrderKind::Unload { .. } => "unload",
                OrderKind::LoadAdapter { .. } => "adapter",
                OrderKind::SetRole { .. } => "role",
            };
            let suffix = if result == OrderResult::Refused { " refused" } else { "" };
            texts.push(format!("{verb} {}{suffix}", order.endpoint));
        }
        let served: BTreeSet<_> = cfg.models.values().flat_map(|it| &it.versions).collect();
        let serving = engines.reports.values().filter(|report| {
            let mut models = report.models.iter();
            models.any(|it| it.state == LoadState::Ready && served.contains(&it.version))
        });
        min_serving = min_serving.min(serving.count());
        engines.finish_loads();
        if texts.is_empty() {
            idle += 1;
        } else {
            idle = 0;
            lines.push_str(&format!("{}\n", texts.join(", ")));
        }
        if idle > 3 {
            return (status, lines, min_serving);
        }
    }
    panic!("the rollout does not become idle:\n{lines}");
}

#[test]
fn version_is_loaded_on_one_endpoint_first_then_one_failure_domain_at_a_time() {
    let (mut rollout, first) = (Rollout::default(), config(&["v1"], &["v1"], true));
    let mut engines = Engines::new(&first, 2);
    run_until_idle(&mut rollout, &first, &mut engines, 0);
    assert_eq!(engines.ready("v1"), 6);
    let second = config(&["v1", "v2"], &["v2", "v1"], true);
    let (status, lines, min_serving) =
        run_until_idle(&mut rollout, &second, &mut engines, 10_000_000);
    insta::assert_snapshot!(lines, @"
    load a-0
    load a-1
    load b-2, load b-3
    load c-4, load c-5
    ");
    assert_eq!((engines.ready("v2"), min_serving, status.halts.len()), (6, 6, 0));
    let third = config(&["v2"], &["v2"], true);
    let (_, lines, min_serving) = run_until_idle(&mut rollout, &third, &mut engines, 20_000_000);
    insta::assert_snapshot!(lines, @"
    unload a-0, unload a-1
    unload b-2, unload b-3
    unload c-4, unload c-5
    ");
    assert_eq!((engines.ready("v1"), engines.ready("v2"), min_serving), (0, 6, 6));
}

#[test]
fn failing_version_is_halted_and_reported_and_the_old_one_keeps_serving() {
    let (mut rollout, first) = (Rollout::default(), config(&["v1"], &["v1"], true));
    for failing in ["a-0", "b-3"] {
        let mut engines = Engines::new(&first, 2);
        run_until_idle(&mut rollout, &first, &mut engines, 0);
        engines.failing = Some((name(failing), ModelVersion::new("v2").unwrap()));
        let second = config(&["v1", "v2"], &["v2", "v1"], true);
        let (status, _, min_serving) =
            run_until_idle(&mut rollout, &second, &mut engines, 10_000_000);
        let expected = format!("rollout of m v2 is halted: the load failed on endpoint {failing}");
        assert_eq!(status.halts[0].to_string(), expected);
        assert!(engines.ready("v2") <= 3, "no failure domain after that of {failing}");
        assert_eq!((engines.ready("v1"), min_serving), (6, 6));
        // Rollback: the old version is preferred again and the new one is no longer permitted.
        let (status, _, min_serving) =
            run_until_idle(&mut rollout, &first, &mut engines, 20_000_000);
        assert_eq!((engines.ready("v1"), engines.ready("v2")), (6, 0));
        assert_eq!((min_serving, status.halts.len()), (6, 0));
    }
}

#[test]
fn engines_without_room_replace_the_old_version_one_at_a_time() {
    let (mut rollout, first) = (Rollout::default(), config(&["v1"], &["v1"], true));
    let mut engines = Engines::new(&first, 1);
    run_until_idle(&mut rollout, &first, &mut engines, 0);
    let second = config(&["v1", "v2"], &["v2", "v1"], true);
    let (status, lines, min_serving) =
        run_until_idle(&mut rollout, &second, &mut engines, 10_000_000);
    assert_eq!((engines.ready("v2"), status.halts.len()), (6, 0), "{lines}");
    assert!(min_serving >= 4, "only {min_serving} of 6 endpoints served:\n{lines}");
}

#[test]
fn endpoints_that_ignore_fencing_numbers_get_only_orders_that_are_safe_when_late() {
    let (mut rollout, first) = (Rollout::default(), config(&["v1"], &["v1"], false));
    let mut engines = Engines::new(&first, 2);
    run_until_idle(&mut rollout, &first, &mut engines, 0);
    let second = config(&["v2"], &["v2"], false);
    let (status, lines, _) = run_until_idle(&mut rollout, &second, &mut engines, 10_000_000);
    assert!(!lines.contains("unload"), "{lines}");
    assert_eq!((engines.ready("v2"), status.leftovers.len()), (6, 6));
}

#[test]
fn version_without_weights_is_halted_and_a_rate_limit_only_delays() {
    let cfg = config(&["v1"], &["v1"], true);
    let engines = Engines::new(&cfg, 1);
    let mut rollout = Rollout::default();
    let (orders, _) = rollout.decide(&cfg, &engines.reports, Timestamp::ZERO);
    rollout.on_result(&orders[0], OrderResult::RateLimited, Timestamp::ZERO);
    let (orders, status) = rollout.decide(&cfg, &engines.reports, Timestamp::from_millis(2_000));
    assert_eq!((orders.len(), status.halts.len()), (1, 0));
    rollout.on_result(&orders[0], OrderResult::NoWeights, Timestamp::from_millis(2_000));
    let (orders, status) = rollout.decide(&cfg, &engines.reports, Timestamp::from_millis(4_000));
    assert!(orders.is_empty());
    insta::assert_snapshot!(status.halts[0], @"rollout of m v1 is halted: the weight store has no weights to load on endpoint a-0");
}

/// Runs a controller that is paused before it sends its orders and sends them after its
/// successor has reverted the change. Returns the engines after the late orders.
fn resume_paused_controller(checks_fencing: bool) -> Engines {
    let first = config(&["v1"], &["v1"], checks_fencing);
    let second = config(&["v1", "v2"], &["v2", "v1"], checks_fencing);
    let mut engines = Engines::new(&first, 2);
    run_until_idle(&mut Rollout::default(), &first, &mut engines, 0);
    // The first controller loads v2 and, with the next configuration, decides to unload v1.
    let mut paused = Rollout::default();
    run_until_idle(&mut paused, &second, &mut engines, 10_000_000);
    let third = config(&["v2"], &["v2"], checks_fencing);
    let (late_orders, _) =
        paused.decide(&third, &engines.reports, Timestamp::from_millis(20_000_000));
    // It is paused before it sends the orders. The next holder of the lease goes back to v1
    // under a higher fencing number.
    let mut successor = Rollout::default();
    run_until_idle(&mut successor, &first, &mut engines, 30_000_000);
    engines.fencing = 2;
    for order in &late_orders {
        if !checks_fencing || 1 >= engines.fencing {
            engines.execute(order);
        }
    }
    engines.finish_loads();
    engines
}

#[test]
fn late_orders_of_a_paused_controller_unload_no_version_in_use() {
    for checks_fencing in [true, false] {
        let engines = resume_paused_controller(checks_fencing);
        assert_eq!(engines.ready("v1"), 6, "endpoints check fencing: {checks_fencing}");
    }
}
