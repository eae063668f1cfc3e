//! Events of callers: requests that arrive, wait, are refused, time out and are retried.

use errors::{Error, ErrorKind};
use routing::{AttemptOutcome, Decision, EndpointLease};
use standins::engine::JobId;

use super::{Attempt, Simulation, event::Event};
use crate::cmd::routing::{
    deployment::CALLER_LATENCY,
    request::{RequestState, attempt_timeout},
};

impl Simulation {
    pub(super) fn on_arrive(&mut self, id: usize) {
        let request = &mut self.requests[id];
        request.need.deadline = self.now + attempt_timeout(request.need.priority);
        request.need.avoid.clear();
        request.attempt += 1;
        self.submit(id);
        let request = &self.requests[id];
        if matches!(request.state, RequestState::Queued(_) | RequestState::Running(_)) {
            let event = Event::Deadline { request: id, attempt: request.attempt };
            self.schedule_at(request.need.deadline, event);
        }
    }

    /// Submits a request to its router, which chooses an engine, queues the request or refuses it.
    pub(super) fn submit(&mut self, id: usize) {
        let request = &mut self.requests[id];
        let router = request.router;
        request.state = RequestState::WithCaller;
        match self.routers[router].submit(&request.need, self.now, &mut self.rng) {
            Decision::Place(lease) => self.start_attempt(id, lease),
            Decision::Wait(waiter) => {
                request.state = RequestState::Queued(waiter);
                self.waiting.insert((router, waiter), id);
                self.resolve(router);
            }
            Decision::Refuse(error) => self.on_refused(id, &error),
        }
    }

    /// Handles a refusal: the caller retries immediately, except for quarantined content.
    pub(super) fn on_refused(&mut self, id: usize, error: &Error) {
        self.requests[id].state = RequestState::WithCaller;
        if self.measurement.includes(self.now) {
            self.measurement.refused_attempts += 1;
        }
        if error.kind() == ErrorKind::Quarantined {
            self.requests[id].state = RequestState::Ended;
        } else {
            self.schedule(CALLER_LATENCY * 2, Event::Arrive(id));
        }
    }

    pub(super) fn start_attempt(&mut self, id: usize, lease: EndpointLease) {
        self.last_job += 1;
        let job = self.last_job;
        let engine = self.engine_indexes[&lease.endpoint];
        let router = self.requests[id].router;
        self.requests[id].state = RequestState::Running(job);
        let (sent_at, has_first_token) = (self.now, false);
        let attempt = Attempt { request: id, engine, lease, sent_at, has_first_token };
        self.attempts.insert(job, attempt);
        self.schedule(self.deployment.latency(router, engine), Event::Submit(job));
    }

    pub(super) fn on_deadline(&mut self, id: usize, attempt: u32) {
        let request = &self.requests[id];
        if request.attempt != attempt {
            return;
        }
        let router = request.router;
        match request.state {
            RequestState::WithCaller | RequestState::Ended => return,
            RequestState::Queued(waiter) => {
                self.waiting.remove(&(router, waiter));
                self.routers[router].cancel(waiter);
            }
            RequestState::Running(job) => {
                if let Some(attempt) = self.attempts.remove(&job) {
                    self.engines[attempt.engine].cancel(JobId(job));
                    self.finish_lease(&attempt, AttemptOutcome::Cancelled);
                }
            }
        }
        if self.measurement.includes(self.now) {
            self.measurement.timed_out_attempts += 1;
        }
        self.end_caller_attempt(id);
        self.resolve(router);
    }

    /// Ends a caller's attempt that got no complete answer; the caller retries.
    pub(super) fn end_caller_attempt(&mut self, id: usize) {
        let request = &mut self.requests[id];
        if self.measurement.includes(self.now) {
            self.measurement.wasted_tokens += request.received;
        }
        request.received = 0;
        request.state = RequestState::WithCaller;
        self.schedule(CALLER_LATENCY * 2, Event::Arrive(id));
    }
}
