//! Checks that the routers together keep to the rate limit that an endpoint states.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::{
    callers::RequestOutcome,
    world::{LIMITED_ENDPOINT, STATED_LIMIT, SoakFleet},
};

/// Time after the first statement from which the limit is binding.
const NOTICE: Duration = Duration::from_secs(3);

/// Time after a router has passed on a statement from which its requests count.
const REACTION: Duration = Duration::from_millis(500);

/// Window in which an endpoint may get one and a half times the stated number of requests, and
/// [`SLACK`] more.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;

/// Checks the requests that arrived at the limited endpoint. Those of a router count from
/// [`REACTION`] after it has passed on a statement; after a stop or a pause it has to hear anew.
pub(crate) fn check(fleet: &SoakFleet, outcomes: &[RequestOutcome]) {
    let by_id: BTreeMap<&str, &RequestOutcome> =
        outcomes.iter().map(|it| (it.id.as_str(), it)).collect();
    let statements = || outcomes.iter().filter_map(|it| Some((it.router, it.limit_stated_at?)));
    let Some(first) = statements().map(|it| it.1).min() else { return };
    let was_told = |router: SocketAddr, at: Instant| {
        let disturbances = fleet.disturbances.iter().filter(|it| it.0 == router && it.1 <= at);
        let since = disturbances.map(|it| it.1).max().unwrap_or(first);
        statements().any(|it| it.0 == router && it.1 >= since && it.1 + REACTION <= at)
    };
    let mut times = Vec::new();
    for received in fleet.endpoints[LIMITED_ENDPOINT].received() {
        let id = received.headers["x-auburncrank-attempt-id"].to_str().unwrap();
        let at = Instant::from_std(received.at);
        if by_id.get(id).is_some_and(|it| at >= first + NOTICE && was_told(it.router, at)) {
            times.push(at);
        }
    }
    let in_window = |start: &Instant| {
        times.iter().filter(|it| **it >= *start && it.duration_since(*start) < WINDOW).count()
    };
    let most = times.iter().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * STATED_LIMIT * WINDOW.as_secs_f64() + SLACK;
    println!("{most} requests in {WINDOW:?} at the limited endpoint; allowed {allowed}");
    assert!(most as f64 <= allowed, "{most} requests in {WINDOW:?}; allowed {allowed}");
}
