//! Events of routers: results of attempts, load reports and queued requests.

use std::time::Duration;

use routing::{AttemptOutcome, ResolvedWaiter};
use utils::jitter;

use super::{Attempt, POLL_INTERVAL, SWEEP_INTERVAL, Simulation, event::Event};
use crate::cmd::routing::{deployment::CALLER_LATENCY, request::RequestState};

impl Simulation {
    pub(super) fn on_first_token(&mut self, job: u64, latency: Duration) {
        let Some(attempt) = self.attempts.get(&job) else { return };
        let router = self.requests[attempt.request].router;
        self.routers[router].on_first_token(attempt.lease.id, latency, self.now);
        self.resolve(router);
    }

    pub(super) fn on_job_end(&mut self, job: u64, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(&job) else { return };
        let id = attempt.request;
        self.finish_lease(&attempt, outcome);
        let request = &mut self.requests[id];
        let router = request.router;
        if outcome == AttemptOutcome::Completed {
            request.state = RequestState::Ended;
            self.measurement.on_completed(request.output_tokens, self.now + CALLER_LATENCY);
        } else {
            request.need.avoid.push(attempt.lease.endpoint);
            if self.routers[router].may_retry(&request.need, self.now) {
                self.submit(id);
            } else {
                // The caller receives an error and retries.
                self.end_caller_attempt(id);
            }
        }
        self.resolve(router);
    }

    pub(super) fn finish_lease(&mut self, attempt: &Attempt, outcome: AttemptOutcome) {
        let router = self.requests[attempt.request].router;
        let lease = attempt.lease.id;
        let record = self.routers[router].finish(lease, outcome, self.now, &mut self.rng);
        let Some(record) = record else { return };
        for other in (0..self.routers.len()).filter(|it| *it != router) {
            let record = Box::new(record.clone());
            self.schedule(self.deployment.latency, Event::CrashRecord { router: other, record });
        }
    }

    pub(super) fn on_poll(&mut self, router: usize, engine: usize) {
        let report = self.engines[engine].lagging_report(self.now);
        let name = &self.engines[engine].name;
        self.routers[router].on_report(name, report.as_ref(), self.now);
        self.resolve(router);
        let pause = jitter(POLL_INTERVAL, &mut self.rng);
        self.schedule(pause, Event::Poll { router, engine });
    }

    pub(super) fn on_sweep(&mut self, router: usize) {
        let resolved = self.routers[router].sweep(self.now);
        self.apply_resolved(router, resolved);
        self.resolve(router);
        self.schedule(SWEEP_INTERVAL, Event::Sweep(router));
    }

    /// Lets a router send or refuse its waiting requests.
    pub(super) fn resolve(&mut self, router: usize) {
        let resolved = self.routers[router].poll(self.now, &mut self.rng);
        self.apply_resolved(router, resolved);
    }

    pub(super) fn apply_resolved(&mut self, router: usize, resolved: Vec<ResolvedWaiter>) {
        for resolution in resolved {
            let Some(id) = self.waiting.remove(&(router, resolution.waiter)) else { continue };
            match resolution.result {
                Ok(lease) => self.start_attempt(id, lease),
                Err(error) => self.on_refused(id, &error),
            }
        }
    }
}
