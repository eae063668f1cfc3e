//! Events of engines: jobs, steps, tokens and crashes.

use std::time::Duration;

use routing::AttemptOutcome;
use standins::engine::{EngineEvent, Job, JobId};

use super::{RESTART_TIME, Simulation, event::Event};
use crate::cmd::routing::deployment::CALLER_LATENCY;

impl Simulation {
    pub(super) fn on_submit(&mut self, job: u64) {
        let Some(attempt) = self.attempts.get(&job) else { return };
        let (request, engine) = (&self.requests[attempt.request], attempt.engine);
        if !self.engines[engine].is_up {
            let delay = self.deployment.latency(request.router, engine);
            let delay = delay.max(self.engines[engine].connect_failure_delay);
            self.schedule(delay, Event::JobEnd { job, outcome: AttemptOutcome::NotSent });
            return;
        }
        let need = &request.need;
        self.engines[engine].submit(Job {
            id: JobId(job),
            priority: self.routers[request.router].engine_priority(need),
            prompt_tokens: need.prompt_tokens + request.received,
            blocks: need.blocks.clone(),
            output_tokens: (request.output_tokens - request.received).max(1),
            is_poison: request.is_poison,
        });
        self.start_step(engine);
    }

    pub(super) fn start_step(&mut self, engine: usize) {
        if let Some(duration) = self.engines[engine].start_step() {
            let incarnation = self.engines[engine].incarnation;
            self.schedule(duration, Event::StepEnd { engine, incarnation, duration });
        }
    }

    pub(super) fn on_step_end(&mut self, engine: usize, incarnation: u32, duration: Duration) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        for event in self.engines[engine].end_step(duration, self.now) {
            match event {
                EngineEvent::Token(job) => self.on_token(job, false),
                EngineEvent::Finished(job) => self.on_token(job, true),
                EngineEvent::Crashed(_) => {
                    self.crash_engine(engine, Duration::ZERO, RESTART_TIME);
                    return;
                }
            }
        }
        self.start_step(engine);
    }

    pub(super) fn on_token(&mut self, job: JobId, is_last: bool) {
        let Some(attempt) = self.attempts.get_mut(&job.0) else { return };
        let request = &mut self.requests[attempt.request];
        let to_router = self.deployment.latency(request.router, attempt.engine);
        let at = self.now + to_router + CALLER_LATENCY;
        request.received += 1;
        match request.last_token_at.replace(at) {
            Some(last) => self.measurement.on_next_token(at.since(last), at),
            None => {
                request.first_token_at = Some(at);
                let latency = at.since(request.sent_at);
                self.measurement.on_first_token(request.need.priority, latency, at);
            }
        }
        let is_first = !std::mem::replace(&mut attempt.has_first_token, true);
        let latency = (self.now + to_router).since(attempt.sent_at);
        if is_last {
            self.engines[attempt.engine].cancel(job);
        }
        if is_first {
            self.schedule(to_router, Event::FirstToken { job: job.0, latency });
        }
        if is_last {
            let outcome = AttemptOutcome::Completed;
            self.schedule(to_router, Event::JobEnd { job: job.0, outcome });
        }
    }

    pub(super) fn crash_engine(
        &mut self,
        engine: usize,
        connect_failure_delay: Duration,
        downtime: Duration,
    ) {
        if !self.engines[engine].is_up {
            return;
        }
        if self.measurement.includes(self.now) {
            self.measurement.crashes += 1;
        }
        for job in self.engines[engine].crash(connect_failure_delay) {
            let Some(attempt) = self.attempts.get(&job.0) else { continue };
            let router = self.requests[attempt.request].router;
            let delay = self.deployment.latency(router, engine);
            let outcome = AttemptOutcome::Lost;
            self.schedule(delay, Event::JobEnd { job: job.0, outcome });
        }
        self.schedule(downtime, Event::Restart(engine));
    }
}
