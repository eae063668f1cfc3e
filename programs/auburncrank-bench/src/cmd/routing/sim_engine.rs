//! Engines on simulated time.

use std::{collections::VecDeque, time::Duration};

use engine_api::{LoadReport, LoadState, LoadedModel};
use standins::engine::{EngineCore, EngineEvent, EngineSettings, Job, JobId};
use types::{EndpointName, Timestamp};

use super::deployment::{engine_name, model_name, version};

/// Factor by which the steps of a slow engine take longer.
const SLOW_FACTOR: u32 = 10;

/// A simulated engine.
#[derive(Debug)]
pub(super) struct SimEngine {
    /// Name of its endpoint.
    pub(super) name: EndpointName,
    /// Settings, including the step times.
    settings: EngineSettings,
    /// Batching core of the engine stand-in.
    core: EngineCore,
    /// Events of the running step; `None` while the engine is idle.
    step: Option<Vec<EngineEvent>>,
    /// Incremented at each crash, to identify step events from before the crash as stale.
    pub(super) incarnation: u32,
    /// Whether the engine is running.
    pub(super) is_up: bool,
    /// Time after which a connection attempt fails while the engine is down; zero if its host
    /// refuses connections immediately.
    pub(super) connect_failure_delay: Duration,
    /// Jobs that have not ended.
    pub(super) jobs: Vec<JobId>,
    /// Recent load reports with their times, oldest first.
    reports: VecDeque<(Timestamp, LoadReport)>,
    /// Prompt blocks seen and those found in the cache, summed over the crashed incarnations.
    cache_counts: (u64, u64),
}

impl SimEngine {
    pub(super) fn new(index: usize, is_slow: bool) -> SimEngine {
        let mut settings = EngineSettings::default();
        if is_slow {
            settings.step_base *= SLOW_FACTOR;
            settings.step_per_request *= SLOW_FACTOR;
            settings.step_per_prompt_token *= SLOW_FACTOR;
        }
        SimEngine {
            name: engine_name(index),
            core: EngineCore::new(settings.clone()),
            settings,
            step: None,
            incarnation: 0,
            is_up: true,
            connect_failure_delay: Duration::ZERO,
            jobs: Vec::new(),
            reports: VecDeque::new(),
            cache_counts: (0, 0),
        }
    }

    /// Adds a job.
    pub(super) fn submit(&mut self, job: Job) {
        self.jobs.push(job.id);
        self.core.submit(job);
    }

    /// Removes a job.
    pub(super) fn cancel(&mut self, id: JobId) {
        self.jobs.retain(|it| *it != id);
        self.core.cancel(id);
    }

    /// Starts a step and returns its duration; `None` if a step is running, the engine is down or
    /// there is no work.
    pub(super) fn start_step(&mut self) -> Option<Duration> {
        if self.step.is_some() || !self.is_up {
            return None;
        }
        let step = self.core.step()?;
        self.step = Some(step.events);
        Some(step.duration)
    }

    /// Ends the running step and returns its events.
    pub(super) fn end_step(&mut self, duration: Duration, now: Timestamp) -> Vec<EngineEvent> {
        let is_due = self.reports.back().is_none_or(|(at, _)| {
            now.since(*at) > self.settings.report_lag / 4 || self.core.running() == 0
        });
        if is_due {
            self.record_report(duration, now);
        }
        self.step.take().unwrap_or_default()
    }

    /// Crashes the engine and returns the lost jobs.
    pub(super) fn crash(&mut self, connect_failure_delay: Duration) -> Vec<JobId> {
        let (seen, hit) = self.core.cache_counts();
        self.cache_counts.0 += seen;
        self.cache_counts.1 += hit;
        self.core = EngineCore::new(self.settings.clone());
        self.step = None;
        self.incarnation += 1;
        self.is_up = false;
        self.connect_failure_delay = connect_failure_delay;
        self.reports.clear();
        std::mem::take(&mut self.jobs)
    }

    /// Returns the load report delayed by the engine's report lag; `None` while the engine is down.
    pub(super) fn lagging_report(&mut self, now: Timestamp) -> Option<LoadReport> {
        if !self.is_up {
            return None;
        }
        if self.core.running() == 0 && self.step.is_none() {
            self.record_report(Duration::ZERO, now);
        }
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| now.since(*at) >= lag) {
            self.reports.pop_front();
        }
        let old = self.reports.front().filter(|(at, _)| now.since(*at) >= lag);
        let report = old.map(|(_, report)| report.clone()).unwrap_or_default();
        let models = vec![LoadedModel {
            model: model_name(),
            version: version(),
            adapters: Vec::new(),
            state: LoadState::Ready,
        }];
        Some(LoadReport { max_batch: self.settings.max_batch, models, ..report })
    }

    /// Returns the numbers of prompt blocks seen and of those found in the cache so far.
    pub(super) fn cache_counts(&self) -> (u64, u64) {
        let (seen, hit) = self.core.cache_counts();
        (self.cache_counts.0 + seen, self.cache_counts.1 + hit)
    }

    fn record_report(&mut self, step: Duration, now: Timestamp) {
        let report = LoadReport {
            running: u32::try_from(self.core.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.core.waiting()).unwrap_or(u32::MAX),
            pending_prompt_tokens: self.core.pending_prompt_tokens(),
            step_us: u64::try_from(step.as_micros()).unwrap_or(u64::MAX),
            ..LoadReport::default()
        };
        self.reports.push_back((now, report));
    }
}
