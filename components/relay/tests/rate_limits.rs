//! Simulates a fleet whose routers share the rate limit that an endpoint states, while routers
//! restart and are cut off from each other.

#![allow(
    clippy::unwrap_used,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a test may panic, and its numbers are small"
)]

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
    time::Duration,
};

use rand::{Rng as _, seq::SliceRandom};
use relay::{
    endpoints::{
        Choice, EndpointChange, EndpointRegistry, Placement, PlacementRequest, RateStatement,
        Statements,
    },
    model::{EndpointEntry, EndpointPhase, PromptPart, TokenDemand},
    peers::{Member, Roster, StatementMessage, process_key},
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time between two rounds of messages, and the number of routers that each round reaches.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(300);
const FAN_OUT: usize = 14;

/// Time from a request to its answer, in steps.
const ANSWER_STEPS: usize = 5;

/// Requests of callers to each router, per second.
const REQUESTS_PER_S: f64 = 25.0;

/// Window in which the endpoint may get one and a half times the stated number of requests, and
/// [`SLACK`] more, from [`NOTICE`] after it first states the limit.
const WINDOW: Duration = Duration::from_secs(4);
const SLACK: f64 = 5.0;
const NOTICE: Duration = Duration::from_secs(3);

const LIMITED: &str = "limited";

/// A router and the time of its last start.
struct SimRouter {
    number: usize,
    started_at: Timestamp,
    registry: EndpointRegistry,
    roster: Roster,
    /// Whether the process runs.
    is_running: bool,
    /// Part of the network; routers reach only those in the same part.
    part: u8,
}

impl SimRouter {
    fn new(number: usize, now: Timestamp) -> SimRouter {
        let mut registry = EndpointRegistry::default();
        for id in [LIMITED, "other"] {
            registry.apply_change(EndpointChange::Written(entry(id)), now);
        }
        let roster = Roster::default();
        SimRouter { number, started_at: now, registry, roster, is_running: true, part: 0 }
    }

    fn name(&self) -> Arc<str> {
        format!("router-{}", self.number).into()
    }

    fn member(&self) -> Member {
        let address = |port: u16| format!("10.0.0.{}:{port}", self.number % 250).parse().unwrap();
        Member {
            name: self.name(),
            process: self.started_at.0,
            caller_address: address(80),
            peer_address: address(7_200),
            failure_domain: "zlin".into(),
            is_ready: true,
            config_version: 1,
            processor_millis: 250,
            arrivals_per_s: 25,
        }
    }

    fn update_shares(&mut self, now: Timestamp) {
        let mut routers = self.roster.limit_sharers(now);
        routers.push(self.name());
        self.registry.update_rate_shares(&self.name(), &routers, now);
    }
}

/// Places a request to the plain service.
fn place(registry: &mut EndpointRegistry, now: Timestamp, rng: &mut Rng) -> Choice {
    let service: Arc<str> = "portal".into();
    let request = PlacementRequest {
        service: &service,
        spec: None,
        tokens: None,
        parts: &[],
        failed_endpoints: &[],
        failure_domain: "zlin",
        routers: 1,
        fill_share: 1.0,
    };
    registry.place(&request, now, rng)
}

/// Records an answer that says nothing but the rate.
fn record_rate(
    registry: &mut EndpointRegistry,
    id: &str,
    rate: RateStatement,
    sent_at: Timestamp,
    now: Timestamp,
) -> bool {
    let statements = Statements { rate, is_leaving: false, pause: None, has_malformed: false };
    registry.record_statements(id, &statements, sent_at, now)
}

fn entry(id: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.into(),
        started_at_ms: 1,
        service: "portal".into(),
        address: "10.0.1.1:80".parse().unwrap(),
        failure_domain: "zlin".into(),
        capacity: 10_000,
        phase: EndpointPhase::Ready,
    }
}

/// A request on its way, and the router that sent it.
struct Sent {
    router: usize,
    sent_at: Timestamp,
    placement: Placement,
}

struct Fleet {
    now: Timestamp,
    rng: Rng,
    routers: Vec<SimRouter>,
    /// Limit that the endpoint states, in requests per second.
    limit_per_s: Option<f64>,
    /// Requests that are not answered yet, by the step in which they were sent, oldest first.
    sent: VecDeque<Vec<Sent>>,
    /// Times at which requests arrived at the limited endpoint.
    arrivals: Vec<Timestamp>,
}

impl Fleet {
    fn new(seed: u64, routers: usize) -> Fleet {
        let mut fleet = Fleet {
            now: Timestamp::ZERO,
            rng: seeded_rng(seed),
            routers: (0..routers).map(|it| SimRouter::new(it, Timestamp::ZERO)).collect(),
            limit_per_s: None,
            sent: VecDeque::new(),
            arrivals: Vec::new(),
        };
        for router in 0..routers {
            fleet.introduce(router);
        }
        fleet
    }

    /// Makes a router and all others know each other, as the rows in the store do.
    fn introduce(&mut self, router: usize) {
        let now = self.now;
        let own = self.routers[router].member();
        for other in 0..self.routers.len() {
            if other != router && self.routers[other].is_running {
                let member = self.routers[other].member();
                self.routers[other].roster.add_listed(own.clone(), now);
                self.routers[router].roster.add_listed(member, now);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.send_messages();
            self.answer();
            self.send_requests();
        }
    }

    fn send_messages(&mut self) {
        let round = MESSAGE_INTERVAL.as_millis() / STEP.as_millis();
        let step = u128::from(self.now.0) / STEP.as_micros();
        for from in 0..self.routers.len() {
            if !(step + from as u128).is_multiple_of(round) || !self.routers[from].is_running {
                continue;
            }
            let member = self.routers[from].member();
            let (liveness, rates) = {
                let router = &self.routers[from];
                let liveness: Vec<_> = router.roster.liveness_reports(self.now).collect();
                (liveness, router.registry.reports(self.now))
            };
            let rates: Vec<StatementMessage> =
                rates.iter().map(StatementMessage::from_report).collect();
            let part = self.routers[from].part;
            let mut targets: Vec<usize> =
                (0..self.routers.len()).filter(|it| *it != from).collect();
            targets.shuffle(&mut self.rng);
            for to in targets.into_iter().take(FAN_OUT) {
                let router = &mut self.routers[to];
                if !router.is_running || router.part != part {
                    continue;
                }
                router.roster.record_status(member.clone(), self.now);
                let own_key = process_key(&router.member());
                for report in liveness.iter().filter(|it| it.process_key != own_key) {
                    router.roster.record_report(report, self.now);
                }
                let mut is_changed = false;
                for report in rates.iter().filter_map(StatementMessage::to_report) {
                    is_changed |= router.registry.apply_report(&report, self.now);
                }
                if is_changed {
                    router.update_shares(self.now);
                }
            }
            self.routers[from].roster.expire(self.now);
            self.routers[from].update_shares(self.now);
        }
    }

    fn answer(&mut self) {
        if self.sent.len() < ANSWER_STEPS {
            return;
        }
        for it in self.sent.pop_front().unwrap_or_default() {
            let router = &mut self.routers[it.router];
            if !router.is_running || router.started_at > it.sent_at {
                continue;
            }
            router.registry.remove_request_load(&it.placement.endpoint, it.placement.load);
            let statement = match self.limit_per_s {
                Some(per_s) if &*it.placement.endpoint == LIMITED => {
                    RateStatement::PerSecond(per_s)
                }
                _ => RateStatement::Unlimited,
            };
            let id = &it.placement.endpoint;
            if record_rate(&mut router.registry, id, statement, it.sent_at, self.now) {
                router.update_shares(self.now);
            }
        }
    }

    fn send_requests(&mut self) {
        let mut sent = Vec::new();
        for router in 0..self.routers.len() {
            let is_due = self.rng.random_bool(REQUESTS_PER_S * STEP.as_secs_f64());
            if !is_due || !self.routers[router].is_running {
                continue;
            }
            if let Choice::Placed(placement) =
                place(&mut self.routers[router].registry, self.now, &mut self.rng)
            {
                if &*placement.endpoint == LIMITED {
                    self.arrivals.push(self.now);
                }
                sent.push(Sent { router, sent_at: self.now, placement });
            }
        }
        self.sent.push_back(sent);
    }

    fn stop(&mut self, router: usize) {
        self.routers[router].is_running = false;
    }

    fn start(&mut self, router: usize) {
        self.routers[router] = SimRouter::new(router, self.now);
        self.introduce(router);
    }

    /// Returns the largest number of arrivals in a [`WINDOW`] that begins at `from` or later.
    fn most_arrivals(&self, from: Timestamp) -> usize {
        let times: Vec<Timestamp> =
            self.arrivals.iter().copied().filter(|it| *it >= from).collect();
        let in_window = |(index, start): (usize, &Timestamp)| {
            times[index..].iter().take_while(|it| it.since(*start) < WINDOW).count()
        };
        times.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    fn arrivals_since(&self, from: Timestamp) -> usize {
        self.arrivals.iter().filter(|it| **it >= from).count()
    }
}

fn allowed(per_s: f64) -> f64 {
    1.5 * per_s * WINDOW.as_secs_f64() + SLACK
}

/// Guards against limits that are exceeded because several routers use the same share, and against
/// limits that are not used because no router has a share.
#[test]
fn calm_fleets_use_a_stated_limit_and_keep_to_it() {
    let cases = [(1, 1.0), (3, 2.5), (8, 0.4), (8, 1.0), (8, 8.0), (40, 1.0), (40, 12.5)];
    for (routers, per_s) in cases {
        let mut fleet = Fleet::new(routers as u64, routers);
        fleet.run(Duration::from_secs(3));
        fleet.limit_per_s = Some(per_s);
        fleet.run(NOTICE);
        let from = fleet.now;
        fleet.run(Duration::from_secs(20));
        let most = fleet.most_arrivals(from);
        let case = format!("{routers} routers, {per_s} per second");
        assert!(most as f64 <= allowed(per_s), "{case}: {most} in {WINDOW:?}");
        let used = fleet.arrivals_since(from) as f64 / (per_s * 20.0);
        assert!((0.7..=1.1).contains(&used), "{case}: {used:.2} of the limit used");
    }
}

/// Guards against shares that are taken over while their former router still uses them.
#[test]
fn limits_hold_while_routers_restart_and_are_cut_off() {
    for seed in 0..40 {
        let mut fleet = Fleet::new(seed, 8);
        let per_s = [1.0, 2.0, 6.0][seed as usize % 3];
        fleet.run(Duration::from_secs(2));
        fleet.limit_per_s = Some(per_s);
        fleet.run(NOTICE);
        let from = fleet.now;
        for _ in 0..10 {
            let router = fleet.rng.random_range(0..8);
            let pause = Duration::from_millis(fleet.rng.random_range(300..3_000));
            if fleet.rng.random_bool(0.5) {
                fleet.stop(router);
                fleet.run(pause);
                fleet.start(router);
            } else {
                let cut_off = fleet.rng.random_range(1..=3);
                (0..cut_off).for_each(|it| fleet.routers[(router + it) % 8].part = 1);
                fleet.run(pause);
                fleet.routers.iter_mut().for_each(|it| it.part = 0);
            }
            let pause = Duration::from_millis(fleet.rng.random_range(100..2_000));
            fleet.run(pause);
        }
        let most = fleet.most_arrivals(from);
        assert!(most as f64 <= allowed(per_s), "seed {seed}, {per_s} per second: {most}");
        assert!(fleet.arrivals_since(from) > 0, "seed {seed}: the limit is not used");
    }
}

/// Guards against a limit that outlasts its statement on routers without a share of it, which get
/// no answer from the endpoint.
#[test]
fn end_of_a_limit_reaches_all_routers() {
    let mut fleet = Fleet::new(7, 40);
    fleet.run(Duration::from_secs(2));
    fleet.limit_per_s = Some(1.0);
    fleet.run(Duration::from_secs(6));
    fleet.limit_per_s = None;
    fleet.run(Duration::from_secs(6));
    let limited = fleet.routers.iter().filter(|it| it.registry.rate_limit_count() > 0).count();
    assert_eq!(limited, 0, "routers that still keep to the limit");
}

/// Guards against a limit that is kept for the next process of an endpoint.
#[test]
fn restarted_endpoint_has_no_limit() {
    let mut registry = EndpointRegistry::default();
    let now = Timestamp::from_millis(1_000);
    registry.apply_change(EndpointChange::Written(entry(LIMITED)), now);
    record_rate(&mut registry, LIMITED, RateStatement::PerSecond(1.0), Timestamp::ZERO, now);
    let reports = registry.reports(now);
    let restarted = EndpointEntry { started_at_ms: 2, ..entry(LIMITED) };
    registry.apply_change(EndpointChange::Written(restarted), now);
    assert_eq!(registry.rate_limit_count(), 0);
    // A router that has not seen the restart still reports the limit.
    let later = Timestamp::from_millis(1_500);
    assert!(!registry.apply_report(&reports[0], later));
    assert_eq!(registry.rate_limit_count(), 0);
}

/// Guards against a huge value that is taken for a limit or a pause.
#[test]
fn huge_statements_are_ignored() {
    let mut registry = EndpointRegistry::default();
    let now = Timestamp::from_millis(1_000);
    registry.apply_change(EndpointChange::Written(entry(LIMITED)), now);
    let statements = Statements {
        rate: RateStatement::PerSecond(1e300),
        is_leaving: false,
        pause: Some(Duration::from_secs(u64::MAX / 2)),
        has_malformed: false,
    };
    assert!(!registry.record_statements(LIMITED, &statements, Timestamp::ZERO, now));
    assert_eq!(registry.rate_limit_count(), 0);
    let choice = place(&mut registry, now, &mut seeded_rng(1));
    assert!(matches!(choice, Choice::Placed(_)), "{choice:?}");
}

/// Guards against an answer that was under way before the limit was stated and ends it.
#[test]
fn overtaken_answer_does_not_end_a_limit() {
    let mut registry = EndpointRegistry::default();
    let at = Timestamp::from_millis;
    registry.apply_change(EndpointChange::Written(entry(LIMITED)), at(0));
    record_rate(&mut registry, LIMITED, RateStatement::PerSecond(1.0), at(100), at(150));
    assert!(!record_rate(&mut registry, LIMITED, RateStatement::Unlimited, at(120), at(160)));
    assert_eq!(registry.rate_limit_count(), 1);
    assert!(record_rate(&mut registry, LIMITED, RateStatement::Unlimited, at(170), at(200)));
    assert_eq!(registry.rate_limit_count(), 0);
}

/// Guards against prompts that are processed again on ever other endpoints because those that
/// cache their shared part state rate limits.
#[test]
fn prompts_whose_cache_owners_are_limited_go_to_one_other_endpoint() {
    let (mut registry, mut rng) = (EndpointRegistry::default(), seeded_rng(5));
    let ids: Vec<String> = (0..6).map(|it| format!("engine-{it}")).collect();
    for id in &ids {
        registry.apply_change(EndpointChange::Written(entry(id)), Timestamp::ZERO);
    }
    let mut place = |registry: &mut EndpointRegistry, at: u64| {
        let service: Arc<str> = "portal".into();
        let parts =
            [PromptPart { id: 7, tokens: 6_000 }, PromptPart { id: 1_000 + at, tokens: 100 }];
        let request = PlacementRequest {
            service: &service,
            spec: None,
            tokens: Some(TokenDemand { prompt: 6_100, max_output: 50 }),
            parts: &parts,
            failed_endpoints: &[],
            failure_domain: "zlin",
            routers: 1,
            fill_share: 1.0,
        };
        let choice = registry.place(&request, Timestamp::from_millis(at), &mut rng);
        let Choice::Placed(placement) = choice else { panic!("{choice:?}") };
        registry.remove_request_load(&placement.endpoint, placement.load);
        placement.endpoint
    };
    for limited in 0..4 {
        let at = 1_000 * (limited + 1);
        let used: BTreeSet<Arc<str>> =
            (0..20).map(|it| place(&mut registry, at + it * 10)).collect();
        assert_eq!(used.len(), 1, "{limited} limited endpoints: {used:?}");
        // This router has no share of the limit.
        let (owner, now) = (used.first().unwrap(), Timestamp::from_millis(at + 500));
        record_rate(&mut registry, owner, RateStatement::PerSecond(1.0), now, now);
    }
}
