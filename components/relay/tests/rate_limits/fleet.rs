//! A simulated fleet in front of two endpoints, one of which states a rate limit.

use std::{collections::VecDeque, time::Duration};

use rand::{Rng as _, seq::SliceRandom};
use relay::{
    endpoints::{Choice, Placement, RateStatement},
    peers::{StatementMessage, process_key},
};
use types::Timestamp;
use utils::{Rng, seeded_rng};

use crate::router::{LIMITED, SimRouter, place, record_rate};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Time between two rounds of messages, and the number of routers that each round reaches.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(300);
const FAN_OUT: usize = 14;

/// Time from a request to its answer, in steps.
const ANSWER_STEPS: usize = 5;

/// Requests of callers to each router, per second.
const REQUESTS_PER_S: f64 = 25.0;

/// Length of the window in which arrivals are counted.
pub(crate) const WINDOW: Duration = Duration::from_secs(4);

/// A request on its way, and the router that sent it.
pub(crate) struct Sent {
    pub(crate) router: usize,
    pub(crate) sent_at: Timestamp,
    pub(crate) placement: Placement,
}

pub(crate) struct Fleet {
    pub(crate) now: Timestamp,
    pub(crate) rng: Rng,
    pub(crate) routers: Vec<SimRouter>,
    /// Limit that the endpoint states, in requests per second.
    pub(crate) limit_per_s: Option<f64>,
    /// Requests that are not answered yet, by the step in which they were sent, oldest first.
    pub(crate) sent: VecDeque<Vec<Sent>>,
    /// Times at which requests arrived at the limited endpoint.
    pub(crate) arrivals: Vec<Timestamp>,
}

impl Fleet {
    pub(crate) fn new(seed: u64, routers: usize) -> Fleet {
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
    pub(crate) fn introduce(&mut self, router: usize) {
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

    pub(crate) fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + STEP;
            self.send_messages();
            self.answer();
            self.send_requests();
        }
    }

    pub(crate) fn send_messages(&mut self) {
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

    pub(crate) fn answer(&mut self) {
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

    pub(crate) fn send_requests(&mut self) {
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

    pub(crate) fn stop(&mut self, router: usize) {
        self.routers[router].is_running = false;
    }

    pub(crate) fn start(&mut self, router: usize) {
        self.routers[router] = SimRouter::new(router, self.now);
        self.introduce(router);
    }

    /// Returns the largest number of arrivals in a [`WINDOW`] that begins at `from` or later.
    pub(crate) fn most_arrivals(&self, from: Timestamp) -> usize {
        let times: Vec<Timestamp> =
            self.arrivals.iter().copied().filter(|it| *it >= from).collect();
        let in_window = |(index, start): (usize, &Timestamp)| {
            times[index..].iter().take_while(|it| it.since(*start) < WINDOW).count()
        };
        times.iter().enumerate().map(in_window).max().unwrap_or(0)
    }

    pub(crate) fn arrivals_since(&self, from: Timestamp) -> usize {
        self.arrivals.iter().filter(|it| **it >= from).count()
    }
}
