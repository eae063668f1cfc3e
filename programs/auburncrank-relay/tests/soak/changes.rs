//! Endpoints that fall silent for a moment, changes of the desired state beside that, and the check
//! that no answer is cut off for them.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use rand::Rng as _;
use serde_json::{Value, json};
use tokio::time::Instant;
use utils::Rng;

use crate::{
    callers::RequestKind,
    engines::{ENGINES, NEW_ENGINES},
    faults::TimedAction,
    outcome::RequestOutcome,
    world::{ALL_ENDPOINTS, CONTACT_TIME, SoakFleet},
};

/// Time during which changes and silences begin.
const CHANGES_PERIOD: Duration = Duration::from_secs(8);

/// Time after a change within which answers that are cut off count.
const CHANGE_EFFECT: Duration = Duration::from_secs(3);

/// Share of its timeout that a request may have taken before its answer is cut off, from 0 to 1. A
/// later end counts as the deadline's.
const CHECKED_SHARE: f64 = 0.7;

/// Routes that move between services, and the services.
const ROUTES: [&str; 4] = ["get", "order", "stream", "resume"];
const SERVICES: [&str; 2] = ["svc", SPARE_SERVICE];
pub(crate) const SPARE_SERVICE: &str = "svc-2";

/// Plans changes of the desired state, each with a silence that begins shortly before or after it.
pub(crate) fn plan(start: Instant, rng: &mut Rng) -> Vec<(Instant, TimedAction)> {
    let (mut at, mut actions) = (start + Duration::from_millis(500), Vec::new());
    while at < start + CHANGES_PERIOD {
        for _ in 0..rng.random_range(1..4) {
            let silence = if rng.random_bool(0.5) {
                TimedAction::SilenceEndpoint(rng.random_range(0..ALL_ENDPOINTS))
            } else {
                TimedAction::SilenceEngine(rng.random_range(0..ENGINES + NEW_ENGINES))
            };
            let silent_at = at + Duration::from_millis(rng.random_range(0..600));
            actions.push((silent_at - Duration::from_millis(300), silence));
        }
        actions.push((at, TimedAction::ChangeState));
        at += Duration::from_millis(rng.random_range(100..1_200));
    }
    actions
}

/// Adds the service to which routes move.
pub(crate) fn add_service(state: &mut Value) {
    let services = state["services"].as_array_mut().unwrap();
    let mut service = services[0].clone();
    service["name"] = json!(SPARE_SERVICE);
    services.push(service);
}

/// Changes timeouts, attempts, or the service of a route.
pub(crate) fn change(state: &mut Value, rng: &mut Rng) -> String {
    let routes = state["routes"].as_array_mut().unwrap();
    match rng.random_range(0..4) {
        0 => {
            let timeout = rng.random_range(2_600..5_000);
            routes.iter_mut().for_each(|it| it["timeout_ms"] = json!(timeout));
            format!("timeout {timeout} ms")
        }
        1 => {
            let attempts = rng.random_range(1..4);
            routes.iter_mut().for_each(|it| it["max_attempts"] = json!(attempts));
            format!("{attempts} attempts")
        }
        2 => {
            let (name, service) =
                (ROUTES[rng.random_range(0..ROUTES.len())], rng.random_range(0..2));
            let route = routes.iter_mut().find(|it| it["name"] == name).unwrap();
            route["service"] = json!(SERVICES[service]);
            format!("route {name} to {}", SERVICES[service])
        }
        _ => {
            let timeout = rng.random_range(1_500..15_000);
            state["limits"]["idle_timeout_ms"] = json!(timeout);
            format!("idle timeout {timeout} ms")
        }
    }
}

/// Checks that no answer was cut off beside a change of the desired state while router and endpoint
/// were sound, or only silent. Returns the failures.
pub(crate) fn check(fleet: &SoakFleet, outcomes: &[RequestOutcome]) -> Vec<String> {
    let endpoints_of: BTreeMap<SocketAddr, BTreeMap<String, Vec<String>>> = fleet
        .routers
        .iter()
        .map(|it| (it.caller_address, endpoints_by_request(&it.log())))
        .collect();
    let broken = outcomes.iter().filter(|it| {
        let is_early = it.ended_at - it.sent_at < it.kind.timeout().mul_f64(CHECKED_SHARE);
        let beside = it.sent_at - CHANGE_EFFECT..it.ended_at;
        let is_beside = fleet.changes.iter().any(|at| beside.contains(at));
        it.is_broken() && it.kind != RequestKind::Crashing && is_early && is_beside
    });
    let cut_off = broken.filter(|it| {
        let (from, until) = (it.sent_at - CONTACT_TIME, it.ended_at);
        let endpoints = endpoints_of[&it.router].get(&it.id);
        let is_sound = |endpoint: &String| !fleet.was_unsound(endpoint, from, until);
        !fleet.stopped.overlap(&it.router, from, until)
            && !fleet.was_cut_off(it)
            && endpoints.is_some_and(|it| it.iter().all(is_sound))
    });
    let cut_off: Vec<String> = cut_off
        .map(|it| format!("answer cut off: {:?}, {:?}", it, endpoints_of[&it.router][&it.id]))
        .collect();
    println!("{} changes, {} answers cut off", fleet.changes.len(), cut_off.len());
    cut_off
}

/// Returns the ids of the endpoints to which the router sent each request that it read.
fn endpoints_by_request(log: &str) -> BTreeMap<String, Vec<String>> {
    let mut endpoints: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for line in log.lines() {
        let value = |name: &str| {
            let rest = line.split_once(&format!(" {name}="))?.1;
            Some(rest.split(' ').next().unwrap_or(rest).to_owned())
        };
        let Some(id) = value("request") else { continue };
        let sent_to = endpoints.entry(id).or_default();
        if line.contains("request sent") {
            sent_to.extend(value("endpoint"));
        }
    }
    endpoints
}
