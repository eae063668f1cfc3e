//! Callers: requests that arrive, wait, are refused and come again.

use errors::{Error, ErrorKind};
use routing::{AttemptOutcome, Decision, EndpointLease};
use standins::engine::JobId;

use super::{Attempt, Simulation, event::Event};
use crate::cmd::routing::{
    deployment::CALLER_LATENCY,
    request::{Place, patience},
};

impl Simulation {
    pub(super) fn on_arrive(&mut self, id: usize) {
        let request = &mut self.requests[id];
        request.need.deadline = self.now + patience(request.need.priority);
        request.need.avoid.clear();
        request.attempt += 1;
        self.submit(id);
        let request = &self.requests[id];
        if matches!(request.place, Place::Queue(_) | Place::Engine(_)) {
            let event = Event::Deadline { request: id, attempt: request.attempt };
            self.schedule_at(request.need.deadline, event);
        }
    }

    /// Asks the router of a request for an engine.
    pub(super) fn submit(&mut self, id: usize) {
        let request = &mut self.requests[id];
        let router = request.router;
        request.place = Place::Caller;
        match self.routers[router].submit(&request.need, self.now, &mut self.rng) {
            Decision::Place(lease) => self.start_attempt(id, lease),
            Decision::Wait(waiter) => {
                request.place = Place::Queue(waiter);
                self.waiting.insert((router, waiter), id);
                self.resolve(router);
            }
            Decision::Refuse(error) => self.on_refused(id, &error),
        }
    }

    /// The caller of a refused request sends it again at once.
    pub(super) fn on_refused(&mut self, id: usize, error: &Error) {
        self.requests[id].place = Place::Caller;
        if self.measurement.includes(self.now) {
            self.measurement.refused_attempts += 1;
        }
        if error.kind() == ErrorKind::Quarantined {
            self.requests[id].place = Place::Ended;
        } else {
            self.schedule(CALLER_LATENCY * 2, Event::Arrive(id));
        }
    }

    pub(super) fn start_attempt(&mut self, id: usize, lease: EndpointLease) {
        self.next_job += 1;
        let job = self.next_job;
        let engine = self.engine_ids[&lease.endpoint];
        let router = self.requests[id].router;
        self.requests[id].place = Place::Engine(job);
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
        match request.place {
            Place::Caller | Place::Ended => return,
            Place::Queue(waiter) => {
                self.waiting.remove(&(router, waiter));
                self.routers[router].cancel(waiter);
            }
            Place::Engine(job) => {
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

    /// Ends an attempt of a caller without an answer; it sends the request again.
    pub(super) fn end_caller_attempt(&mut self, id: usize) {
        let request = &mut self.requests[id];
        if self.measurement.includes(self.now) {
            self.measurement.wasted_tokens += request.received;
        }
        request.received = 0;
        request.place = Place::Caller;
        self.schedule(CALLER_LATENCY * 2, Event::Arrive(id));
    }
}
