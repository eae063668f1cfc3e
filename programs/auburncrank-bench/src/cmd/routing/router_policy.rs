//! Policies of the simulated routers.

use std::time::Duration;

use config::Config;
use engine_api::LoadReport;
use routing::{
    AttemptOutcome, CrashRecord, Decision, EndpointNeed, ResolvedWaiter, RetryBudget, Scheduler,
    SchedulerSettings, WaiterId,
};
use types::{EndpointName, Priority, Timestamp};
use utils::Rng;

use super::{
    baseline::{Baseline, BaselineChoice},
    deployment::{Deployment, router_name},
};

/// Largest number of attempts on engines within one attempt of the caller.
const ATTEMPTS_MAX: usize = 3;

/// Name of a policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PolicyName {
    /// A random engine, as a baseline.
    Random,
    /// One engine after the other, as a baseline.
    RoundRobin,
    /// The engine with the fewest requests of this router, as a baseline.
    LeastRequests,
    /// The scheduler of the `routing` crate.
    Auburncrank,
}

impl PolicyName {
    /// All policies.
    pub(super) const ALL: [PolicyName; 4] = [
        PolicyName::Random,
        PolicyName::RoundRobin,
        PolicyName::LeastRequests,
        PolicyName::Auburncrank,
    ];

    pub(super) fn label(self) -> &'static str {
        match self {
            PolicyName::Random => "random",
            PolicyName::RoundRobin => "round_robin",
            PolicyName::LeastRequests => "least_requests",
            PolicyName::Auburncrank => "auburncrank",
        }
    }

    /// Creates the policy of one router.
    pub(super) fn create(
        self,
        deployment: &Deployment,
        router: usize,
        cfg: &Config,
    ) -> Box<dyn RouterPolicy> {
        let baseline = |choice| -> Box<dyn RouterPolicy> { Box::new(Baseline::new(choice, cfg)) };
        match self {
            PolicyName::Random => baseline(BaselineChoice::Random),
            PolicyName::RoundRobin => baseline(BaselineChoice::RoundRobin),
            PolicyName::LeastRequests => baseline(BaselineChoice::LeastRequests),
            PolicyName::Auburncrank => {
                let (name, domain) = (router_name(router), deployment.failure_domain(router));
                let mut scheduler = Scheduler::new(name, domain, SchedulerSettings::default());
                scheduler.apply_config(cfg);
                let retries = RetryBudget::new(Timestamp::ZERO);
                Box::new(ScheduledRouter { scheduler, retries })
            }
        }
    }
}

/// Policy that one router uses to choose engines.
pub(super) trait RouterPolicy {
    /// Requests an engine.
    fn submit(&mut self, need: &EndpointNeed, now: Timestamp, rng: &mut Rng) -> Decision;

    /// Returns waiting requests that now get an engine or are refused.
    fn poll(&mut self, _now: Timestamp, _rng: &mut Rng) -> Vec<ResolvedWaiter> {
        Vec::new()
    }

    /// Refuses requests that have waited too long.
    fn sweep(&mut self, _now: Timestamp) -> Vec<ResolvedWaiter> {
        Vec::new()
    }

    /// Removes a waiting request from the queue.
    fn cancel(&mut self, _id: WaiterId) {}

    /// Records that the first token of an attempt arrived after `latency`.
    fn on_first_token(&mut self, _lease: u64, _latency: Duration, _now: Timestamp) {}

    /// Ends the lease of an attempt. Returns a crash record if the router should send it to the
    /// other routers.
    fn finish(
        &mut self,
        lease: u64,
        outcome: AttemptOutcome,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<CrashRecord>;

    /// Reports whether the router may retry after a failed attempt.
    fn may_retry(&mut self, need: &EndpointNeed, _now: Timestamp) -> bool {
        need.avoid.len() < ATTEMPTS_MAX
    }

    /// Handles a load report; `None` if the engine did not answer.
    fn on_report(&mut self, _engine: &EndpointName, _report: Option<&LoadReport>, _now: Timestamp) {
    }

    /// Merges another router's record of content that crashes engines.
    fn on_crash_record(&mut self, _record: &CrashRecord, _now: Timestamp) {}

    /// Returns the priority that the router sends to the engine.
    fn engine_priority(&self, _need: &EndpointNeed) -> Priority {
        Priority::Normal
    }
}

/// Policy that uses the scheduler of the `routing` crate.
struct ScheduledRouter {
    /// Scheduler of this router.
    scheduler: Scheduler,
    /// Limits the retries of this router.
    retries: RetryBudget,
}

impl RouterPolicy for ScheduledRouter {
    fn submit(&mut self, need: &EndpointNeed, now: Timestamp, rng: &mut Rng) -> Decision {
        self.scheduler.submit(need, now, rng)
    }

    fn poll(&mut self, now: Timestamp, rng: &mut Rng) -> Vec<ResolvedWaiter> {
        self.scheduler.poll(now, rng)
    }

    fn sweep(&mut self, now: Timestamp) -> Vec<ResolvedWaiter> {
        self.scheduler.sweep(now)
    }

    fn cancel(&mut self, id: WaiterId) {
        self.scheduler.cancel(id);
    }

    fn on_first_token(&mut self, lease: u64, latency: Duration, now: Timestamp) {
        self.scheduler.on_first_token(lease, latency, now);
    }

    fn finish(
        &mut self,
        lease: u64,
        outcome: AttemptOutcome,
        now: Timestamp,
        rng: &mut Rng,
    ) -> Option<CrashRecord> {
        if outcome == AttemptOutcome::Completed {
            self.retries.on_success();
        }
        self.scheduler.finish(lease, outcome, now, rng)
    }

    fn may_retry(&mut self, need: &EndpointNeed, now: Timestamp) -> bool {
        need.avoid.len() < ATTEMPTS_MAX && self.retries.try_take(now)
    }

    fn on_report(&mut self, engine: &EndpointName, report: Option<&LoadReport>, now: Timestamp) {
        match report {
            Some(report) => self.scheduler.on_report(engine, report, now),
            None => self.scheduler.on_report_failed(engine, now),
        }
    }

    fn on_crash_record(&mut self, record: &CrashRecord, now: Timestamp) {
        self.scheduler.quarantine_mut().merge(record, now);
    }

    fn engine_priority(&self, need: &EndpointNeed) -> Priority {
        need.priority
    }
}
