//! Model engines, some of whose requests have a prompt part that crashes them, and the check that
//! such requests stop reaching them.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::time::Instant;

use crate::{
    callers::{EVENTS_PER_STREAM, RequestKind},
    outcome::{RequestEnd, RequestOutcome},
    proxy::Proxy,
    support::{
        Behaviour, EndpointLinks, StandInEndpoint, StandInStore, desired_state, endpoint_entry,
        keep_registered,
    },
    world::SoakFleet,
};

pub(crate) const ENGINES: usize = 5;

/// Engines of a newer version that are added, and engines that leave for them.
pub(crate) const NEW_ENGINES: usize = 3;
pub(crate) const LEAVING_ENGINES: [usize; 2] = [0, 1];

/// Key of the account whose requests the engines serve; its tokens are not limited.
pub(crate) const ENGINE_KEY: &str = "key-2";

/// The part that crashes engines, and the others that its requests share with sound ones.
pub(crate) const CRASHING_PART: &str = "dead";
pub(crate) const FIRST_PART: &str = "a1";
pub(crate) const SESSIONS: u64 = 3;

/// Time for which a crashed engine is down.
pub(crate) const DOWN_TIME: Duration = Duration::from_millis(700);

/// Number of crashes after which, and the time after the last of them from which, at most
/// [`LATE_REQUESTS_MAX`] requests with the part may reach engines.
const CRASHES_MAX: usize = 5;
const NOTICE: Duration = Duration::from_secs(3);
const LATE_REQUESTS_MAX: usize = 3;

/// Streams that may hold events of two versions.
const MIXED_STREAMS_MAX: usize = 2;

/// Number of streams taken up from which the share that goes on is compared with new streams.
const TAKE_UPS_MIN: usize = 12;

/// Number of sound requests from which their outcomes are compared.
const SOUND_REQUESTS_MIN: usize = 20;

/// The engines and the links to them.
pub(crate) struct Engines {
    pub(crate) endpoints: Vec<StandInEndpoint>,
    pub(crate) links: Vec<Proxy>,
}

impl Engines {
    pub(crate) async fn start(store: &StandInStore) -> Engines {
        let mut engines = Engines { endpoints: Vec::new(), links: Vec::new() };
        for number in 0..ENGINES + NEW_ENGINES {
            let endpoint = StandInEndpoint::start(Behaviour::SlowStream(EVENTS_PER_STREAM)).await;
            endpoint.crash_on_part(CRASHING_PART, DOWN_TIME);
            endpoint.set_version(if number < ENGINES { "v1" } else { "v2" });
            let link = Proxy::start_following(endpoint.address, endpoint.is_up()).await;
            engines.endpoints.push(endpoint);
            engines.links.push(link);
        }
        (0..ENGINES).for_each(|it| engines.register(it, store));
        engines
    }

    /// Makes an engine known to the routers.
    pub(crate) fn register(&self, engine: usize, store: &StandInStore) {
        let (endpoint, link) = (&self.endpoints[engine], &self.links[engine]);
        keep_registered(store, &format!("m-{engine}"), "engines", endpoint, link.address);
    }

    /// Makes the links of a router to the engines refuse connections while an engine is down.
    pub(crate) fn follow(&self, view: &EndpointLinks) {
        for (endpoint, link) in self.endpoints.iter().zip(&self.links) {
            view.follow(link.address, endpoint.is_up());
        }
    }

    /// Makes an engine say in its entry that it is leaving.
    pub(crate) fn leave(&self, engine: usize, store: &StandInStore) {
        let mut entry = endpoint_entry(self.links[engine].address, "draining");
        entry["service"] = "engines".into();
        store.write("servers", &format!("m-{engine}"), &entry);
    }

    /// Ends an engine for a reason that has nothing to do with its requests.
    pub(crate) fn kill(&self, engine: usize) {
        self.endpoints[engine].crash(DOWN_TIME);
    }
}

/// Returns the desired state with the engines' service, route and account.
pub(crate) fn desired_state_with_engines(version: u64, prepaid: u64) -> Value {
    let mut state = desired_state(version, prepaid);
    let mut push = |list: &str, value: Value| state[list].as_array_mut().unwrap().push(value);
    push(
        "routes",
        json!({"name": "engine", "hostname": "a.example", "path_prefix": "/engine/",
            "route_type": "streaming", "timeout_ms": 3000, "target_latency_ms": 400, "priority": 1,
            "service": "engines", "max_attempts": 2, "anonymous": false, "stream_resume": true,
            "itl_target_ms": 300}),
    );
    push(
        "services",
        json!({"name": "engines", "health_path": "/healthz", "max_connections": 100,
            "runtime": {"capacity": 12, "kv_capacity": 100_000, "interval": 3}}),
    );
    push("tenants", json!({"name": "guild", "api_keys": [ENGINE_KEY]}));
    state
}

/// Checks that no stream holds events of two versions, over all requests of its caller, and that
/// streams which callers take up go on.
pub(crate) fn check_versions(fleet: &SoakFleet, outcomes: &[RequestOutcome]) {
    let mut versions: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
    for outcome in outcomes.iter().filter(|it| it.kind == RequestKind::Engine) {
        let stream = outcome.resumes.as_deref().unwrap_or(&outcome.id);
        versions.entry(stream).or_default().extend(outcome.event_data.iter().map(String::as_str));
    }
    let mixed: Vec<_> = versions.iter().filter(|it| it.1.len() > 1).collect();
    let is_in_touch = |it: &&RequestOutcome| {
        !fleet.was_disturbed(it.router, it.sent_at - NOTICE, it.sent_at + NOTICE)
    };
    let engine_requests: Vec<&RequestOutcome> =
        outcomes.iter().filter(|it| it.kind == RequestKind::Engine).filter(is_in_touch).collect();
    let share = |is_taken_up: bool| {
        let sent = engine_requests.iter().filter(|it| it.resumes.is_some() == is_taken_up);
        let begun = sent.clone().filter(|it| it.events > 0).count();
        (begun, sent.count())
    };
    let ((new, all_new), (resumed, taken_up)) = (share(false), share(true));
    println!(
        "{resumed} of {taken_up} streams taken up went on, {new} of {all_new} new ones began, {} mixed",
        mixed.len()
    );
    assert!(mixed.len() <= MIXED_STREAMS_MAX, "streams of two versions: {mixed:?}");
    assert!(
        taken_up < TAKE_UPS_MIN || 2 * resumed * all_new >= taken_up * new,
        "{resumed} of {taken_up} streams taken up went on, {new} of {all_new} new ones began"
    );
}

/// Checks that requests with the crashing part stopped reaching engines, from routers that were
/// not stopped or suspended shortly before, and that sound requests with the same account and first
/// part were not refused for it.
pub(crate) fn check(fleet: &SoakFleet, outcomes: &[RequestOutcome]) {
    let by_id: BTreeMap<&str, &RequestOutcome> =
        outcomes.iter().map(|it| (it.id.as_str(), it)).collect();
    let mut crashes: Vec<Instant> = Vec::new();
    let mut late: Vec<(Instant, &RequestOutcome)> = Vec::new();
    for engine in &fleet.engines.endpoints {
        crashes.extend(engine.part_crashes().into_iter().map(Instant::from));
        let received = engine.received();
        let crashing = received
            .iter()
            .filter(|it| it.header("x-auburncrank-prefix-hash").contains(CRASHING_PART));
        late.extend(crashing.filter_map(|it| {
            let outcome = by_id.get(it.header("x-auburncrank-attempt-id"))?;
            Some((it.at.into(), *outcome))
        }));
    }
    crashes.sort_unstable();
    println!("{} crashes by a part, {} requests with it", crashes.len(), late.len());
    let Some(last) = crashes.get(CRASHES_MAX - 1).copied() else { return };
    let is_in_touch = |router, at: Instant| !fleet.was_disturbed(router, at - NOTICE, at);
    late.retain(|(at, outcome)| *at > last + NOTICE && is_in_touch(outcome.router, *at));
    assert!(late.len() <= LATE_REQUESTS_MAX, "sent after {} crashes: {late:?}", crashes.len());
    let sound: Vec<_> = outcomes
        .iter()
        .filter(|it| it.kind == RequestKind::Engine && it.sent_at > last + 2 * NOTICE)
        .filter(|it| is_in_touch(it.router, it.sent_at))
        .collect();
    let refused = sound.iter().filter(|it| is_refused_for_content(it)).count();
    println!("{refused} of {} sound requests refused for their content", sound.len());
    assert!(sound.len() < SOUND_REQUESTS_MIN || refused * 2 <= sound.len(), "{refused} refused");
}

fn is_refused_for_content(outcome: &RequestOutcome) -> bool {
    matches!(&outcome.end, RequestEnd::Answered(_, _, body) if body.contains("\"quarantined\""))
}
