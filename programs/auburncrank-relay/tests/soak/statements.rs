//! Checks that routers act on what endpoints state in their answers: rate limits, that they are
//! leaving, and pauses.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use crate::{
    outcome::RequestOutcome,
    world::{
        LEAVING_ENDPOINT, LIMITED_ENDPOINT, PAUSE, PAUSING_ENDPOINTS, STATED_LIMIT, SoakFleet,
    },
};

/// Time after the first statement of a limit from which it is binding.
const LIMIT_NOTICE: Duration = Duration::from_secs(3);

/// Time after a router has passed on a limit, or got a refusal, from which its requests count.
const REACTION: Duration = Duration::from_millis(500);

/// Window in which an endpoint may get one and a half times the stated number of requests, and
/// [`LIMIT_SLACK`] more.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
const LIMIT_SLACK: f64 = 5.0;

/// Time after a router has passed on that an endpoint is leaving, after which requests that
/// callers send to it must not reach the endpoint.
const LEAVING_NOTICE: Duration = Duration::from_secs(2);

/// Time for which an answer may be on its way when a link begins or ceases to lose it.
const IN_TRANSIT: Duration = Duration::from_millis(50);

/// Requests that an endpoint may get from one router during a pause that it has asked for.
const PAUSE_SLACK: usize = 2;

/// A request that arrived at an endpoint.
struct Arrival {
    router: SocketAddr,
    /// When the caller sent it.
    sent_at: Instant,
    at: Instant,
    is_refused: bool,
}

/// What callers and endpoints observed.
struct Observations<'a> {
    fleet: &'a SoakFleet,
    outcomes: &'a [RequestOutcome],
    by_id: BTreeMap<&'a str, &'a RequestOutcome>,
}

/// Checks that routers followed all statements. A router is checked again after its process was
/// stopped or suspended only once it has passed on the statement another time.
pub(crate) fn check(fleet: &SoakFleet, outcomes: &[RequestOutcome]) {
    let by_id = outcomes.iter().map(|it| (it.id.as_str(), it)).collect();
    let observations = Observations { fleet, outcomes, by_id };
    observations.check_limit();
    observations.check_leaving();
    PAUSING_ENDPOINTS.into_iter().for_each(|it| observations.check_pause(it));
}

impl Observations<'_> {
    fn arrivals(&self, endpoint: usize) -> Vec<Arrival> {
        let received = self.fleet.endpoints[endpoint].received();
        let arrivals = received.iter().filter_map(|it| {
            let id = it.headers["x-auburncrank-attempt-id"].to_str().unwrap();
            let outcome = self.by_id.get(id)?;
            let (router, sent_at) = (outcome.router, outcome.sent_at);
            Some(Arrival { router, sent_at, at: it.at.into(), is_refused: it.is_refused })
        });
        arrivals.collect()
    }

    /// Returns whether what an endpoint sent at a time may not have arrived.
    fn was_answer_lost(&self, endpoint: usize, at: Instant) -> bool {
        let mut periods = self.fleet.lost_answers.iter().filter(|it| it.0 == endpoint);
        periods.any(|(_, from, until)| at + IN_TRANSIT >= *from && at <= *until + IN_TRANSIT)
    }

    /// Returns whether what endpoints sent to a router at a time may not have arrived, because it was
    /// cut off.
    fn was_cut_off(&self, router: SocketAddr, at: Instant) -> bool {
        self.fleet.was_cut(router, at - IN_TRANSIT, at + IN_TRANSIT)
    }

    fn check_limit(&self) {
        let statements: Vec<(SocketAddr, Instant)> =
            self.outcomes.iter().filter_map(|it| Some((it.router, it.limit_stated_at?))).collect();
        let Some(first) = statements.iter().map(|it| it.1).min() else { return };
        let was_told = |it: &Arrival| {
            statements.iter().any(|(router, stated_at)| {
                *router == it.router
                    && *stated_at + REACTION <= it.at
                    && !self.fleet.was_disturbed(it.router, *stated_at, it.at)
            })
        };
        let arrivals = self.arrivals(LIMITED_ENDPOINT);
        let counted = arrivals.iter().filter(|it| it.at >= first + LIMIT_NOTICE && was_told(it));
        let times: Vec<Instant> = counted.map(|it| it.at).collect();
        let in_window = |start: &Instant| {
            let window = *start..*start + LIMIT_WINDOW;
            times.iter().filter(|it| window.contains(it)).count()
        };
        let most = times.iter().map(in_window).max().unwrap_or(0);
        let allowed = 1.5 * STATED_LIMIT * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
        println!("{most} requests in {LIMIT_WINDOW:?} at the limited endpoint; allowed {allowed}");
        assert!(most as f64 <= allowed, "{most} requests in {LIMIT_WINDOW:?}; allowed {allowed}");
    }

    fn check_leaving(&self) {
        let arrivals = self.arrivals(LEAVING_ENDPOINT);
        let statements =
            self.outcomes.iter().filter_map(|it| Some((it.router, it.leaving_stated_at?)));
        let late = statements.flat_map(|(router, stated_at)| {
            let late = arrivals.iter().filter(move |it| {
                it.router == router
                    && it.sent_at > stated_at + LEAVING_NOTICE
                    && !self.fleet.was_disturbed(router, stated_at, it.at)
            });
            late.map(move |it| (router, it.at - stated_at))
        });
        let late: Vec<_> = late.collect();
        assert!(late.is_empty(), "requests to a leaving endpoint, and the time since: {late:?}");
    }

    fn check_pause(&self, endpoint: usize) {
        let arrivals = self.arrivals(endpoint);
        for refused in arrivals.iter().filter(|it| it.is_refused) {
            let (from, until) = (refused.at + REACTION, refused.at + PAUSE);
            let early = arrivals
                .iter()
                .filter(|it| it.router == refused.router && it.at > from && it.at < until);
            let early = early.count();
            let is_excused = self.fleet.was_disturbed(refused.router, refused.at, until)
                || self.was_answer_lost(endpoint, refused.at)
                || self.was_cut_off(refused.router, refused.at);
            assert!(
                is_excused || early <= PAUSE_SLACK,
                "{early} requests during a pause of endpoint {endpoint}"
            );
        }
    }
}
