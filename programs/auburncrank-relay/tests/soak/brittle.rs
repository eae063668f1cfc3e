//! Endpoints that are brittle for some time: they say so in all answers, let fewer requests wait,
//! and fall over when they refuse too many for want of room; and the check that they rarely do.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant as StdInstant},
};

use rand::Rng as _;
use serde_json::{Value, json};
use tokio::time::Instant;
use utils::Rng;

use crate::{
    faults::TimedAction,
    outcome::RequestOutcome,
    support::{
        Behaviour, Brittleness, EndpointLinks, StandInEndpoint, StandInStore, keep_registered,
    },
    world::{CONTACT_TIME, SoakFleet},
};

const SERVICE: &str = "brittle";
const ENDPOINTS: usize = 4;

/// Time that a request takes, in milliseconds.
const REQUEST_MS: u64 = 250;

/// Requests that run at a time in one endpoint, that may wait there, and that may wait while it is
/// brittle.
const RUNNING_MAX: usize = 6;
const WAITING_MAX: usize = 1_000;
const BRITTLE_WAITING_MAX: usize = 1;

/// Requests that a brittle endpoint may refuse in a second, and the time for which it is down after
/// it refused more.
const REFUSALS_MAX: u32 = 3;
const DOWN_TIME: Duration = Duration::from_millis(1_500);

/// Window in which its refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);

/// Falls in one brittle time that are allowed besides one in [`FALLS_RATIO`] endpoints.
const FALLS_MAX: usize = 2;
const FALLS_RATIO: usize = 10;

/// The endpoints of the brittle service.
pub(crate) struct BrittleService {
    pub(crate) endpoints: Vec<StandInEndpoint>,
}

impl BrittleService {
    pub(crate) async fn start(store: &StandInStore) -> BrittleService {
        let mut endpoints = Vec::new();
        for number in 0..ENDPOINTS {
            let endpoint = StandInEndpoint::start(Behaviour::AnswerAfter(REQUEST_MS)).await;
            endpoint.limit_room(RUNNING_MAX, WAITING_MAX);
            let id = format!("b-{number}");
            keep_registered(store, &id, SERVICE, &endpoint, endpoint.address);
            endpoints.push(endpoint);
        }
        BrittleService { endpoints }
    }

    /// Makes the links of a router to the endpoints refuse connections while an endpoint is down.
    pub(crate) fn follow(&self, view: &EndpointLinks) {
        self.endpoints.iter().for_each(|it| view.follow(it.address, it.is_up()));
    }

    /// Makes the endpoints state that they are brittle, or no longer.
    pub(crate) fn state(&self, is_brittle: bool) {
        let brittleness = Brittleness { refusals_max: REFUSALS_MAX, down_time: DOWN_TIME };
        for endpoint in &self.endpoints {
            endpoint.set_brittleness(is_brittle.then_some(brittleness));
        }
    }

    /// Makes the endpoints let only a few requests wait, or many.
    pub(crate) fn shorten_queues(&self, are_short: bool) {
        let waiting_max = if are_short { BRITTLE_WAITING_MAX } else { WAITING_MAX };
        self.endpoints.iter().for_each(|it| it.set_waiting_max(waiting_max));
    }
}

/// Adds the service and its route.
pub(crate) fn add_service(state: &mut Value) {
    let mut push = |list: &str, name: &str, change: Value| {
        let mut entry = state[list][0].clone();
        entry["name"] = json!(name);
        entry.as_object_mut().unwrap().extend(change.as_object().unwrap().clone());
        state[list].as_array_mut().unwrap().push(entry);
    };
    let runtime = json!({"capacity": RUNNING_MAX, "kv_capacity": 100_000, "interval": 3});
    push("services", SERVICE, json!({"runtime": runtime}));
    push("routes", SERVICE, json!({"path_prefix": "/brittle/", "service": SERVICE}));
}

/// Plans one brittle time.
pub(crate) fn plan(start: Instant, rng: &mut Rng) -> [(Instant, TimedAction); 3] {
    let from = start + Duration::from_millis(rng.random_range(0..2_000));
    let shortened = from + CONTACT_TIME;
    let until = shortened + Duration::from_millis(rng.random_range(2_000..5_000));
    [
        (from, TimedAction::SetBrittle(true)),
        (shortened, TimedAction::ShortenQueues),
        (until, TimedAction::SetBrittle(false)),
    ]
}

/// Checks that few brittle endpoints fell over. A fall counts if most requests that the endpoint
/// refused before it came from routers in touch. Returns the failures.
pub(crate) fn check(fleet: &SoakFleet, outcomes: &[RequestOutcome]) -> Vec<String> {
    let by_id: BTreeMap<&str, &RequestOutcome> =
        outcomes.iter().map(|it| (it.id.as_str(), it)).collect();
    let mut falls = 0;
    let mut counted = 0;
    for endpoint in &fleet.brittle.endpoints {
        let received = endpoint.received();
        let counts = |fall: &StdInstant| {
            let before = *fall - REFUSAL_WINDOW..=*fall;
            let refused = received.iter().filter(|it| it.is_refused && before.contains(&it.at));
            let refused: Vec<_> =
                refused.filter_map(|it| by_id.get(it.header("x-auburncrank-attempt-id"))).collect();
            let in_touch = refused.iter().filter(|it| fleet.is_in_touch(it)).count();
            2 * in_touch > refused.len()
        };
        let all = endpoint.falls();
        falls += all.len();
        counted += all.iter().filter(|it| counts(it)).count();
    }
    let text = format!("{counted} of {falls} falls of brittle endpoints count");
    println!("{text}");
    let is_exceeded = FALLS_RATIO * counted > FALLS_RATIO * FALLS_MAX + ENDPOINTS;
    if is_exceeded { vec![text] } else { Vec::new() }
}
