//! In-memory state of one engine process.

use std::{collections::VecDeque, sync::Arc};

use engine_api::{
    CacheEvent, ChatMessage, ChatRequest, LoadReport, LoadState, LoadedModel, Order, OrderKind,
    OrderOutcome, prompt_blocks,
};
use tokio::{sync::watch, time::Instant};
use types::{FencingNumber, ModelName, ModelVersion, Priority};
use utils::HashMap;

use super::{
    EngineCore, EngineEvent, EngineLog, EngineRecord, EngineSettings, Job, JobId,
    answer::{expected_tokens, is_poison, prompt_tokens},
    stream::{EngineStream, Progress},
};

/// Maximum number of tokens generated for a request that sets no limit.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// In-memory state of one engine process, with the log, which is kept across restarts.
#[derive(Debug)]
pub(super) struct EngineProcess {
    pub(super) settings: EngineSettings,
    /// Batch scheduler.
    pub(super) core: EngineCore,
    /// Running and waiting jobs.
    pub(super) jobs: HashMap<JobId, JobState>,
    /// Streams and their start times, by request id.
    pub(super) streams: HashMap<String, (EngineStream, Instant)>,
    /// Number of the next job.
    pub(super) next_job: u64,
    /// Models that are loaded or being loaded.
    pub(super) models: Vec<LoadedModel>,
    /// Highest fencing number received in an order.
    pub(super) fencing: FencingNumber,
    /// Recent load reports, oldest first.
    pub(super) reports: VecDeque<TimedReport>,
    /// Whether load reports announce that the engine is leaving.
    pub(super) leaving: bool,
    pub(super) log: EngineLog,
}

/// A load report and the time at which it was made.
#[derive(Debug)]
pub(super) struct TimedReport {
    at: Instant,
    report: LoadReport,
    /// Number that the next cache event will have.
    events_end: u64,
}

/// A running or waiting job.
#[derive(Debug)]
pub(super) struct JobState {
    /// Index of the job's record in the log.
    pub(super) record: usize,
    /// Publishes the progress of the answer to its streams.
    pub(super) progress: watch::Sender<Progress>,
}

impl EngineProcess {
    /// Creates an idle process.
    pub(super) fn new(
        settings: EngineSettings,
        models: Vec<LoadedModel>,
        log: EngineLog,
    ) -> EngineProcess {
        EngineProcess {
            core: EngineCore::new(settings.clone()),
            settings,
            jobs: HashMap::default(),
            streams: HashMap::default(),
            next_job: 0,
            models,
            fencing: FencingNumber::default(),
            reports: VecDeque::new(),
            leaving: false,
            log,
        }
    }

    pub(super) fn remove_expired_streams(&mut self) {
        let window = self.settings.resume_window;
        self.streams.retain(|_, (stream, opened)| {
            opened.elapsed() < window || !stream.progress.borrow().is_finished
        });
    }

    pub(super) fn submit(
        &mut self,
        id: &str,
        priority: Priority,
        req: &ChatRequest,
    ) -> EngineStream {
        let max_tokens = req.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
        let (messages, skipped) = split_continued(req);
        let prompt_tokens = prompt_tokens(&messages);
        let answer_tokens = expected_tokens(&messages, max_tokens.saturating_add(skipped));
        let job = JobId(self.next_job);
        self.next_job += 1;
        let (tx, progress) = watch::channel(Progress { tokens: 0, is_finished: false });
        self.log.records.push(EngineRecord {
            request_id: id.to_owned(),
            prompt_tokens,
            generated_tokens: 0,
            is_finished: false,
        });
        let record = self.log.records.len() - 1;
        self.jobs.insert(job, JobState { record, progress: tx });
        self.core.submit(Job {
            id: job,
            priority,
            prompt_tokens,
            blocks: prompt_blocks(&messages),
            output_tokens: answer_tokens.saturating_sub(skipped).max(1),
            is_poison: is_poison(&messages),
        });
        let stream = EngineStream { messages, skipped, prompt_tokens, progress };
        self.streams.insert(id.to_owned(), (stream.clone(), Instant::now()));
        stream
    }

    /// Applies the events of a step; returns `false` if the engine crashed.
    pub(super) fn apply(&mut self, events: &[EngineEvent]) -> bool {
        for event in events {
            match *event {
                EngineEvent::Token(job) => self.add_token(job, false),
                EngineEvent::Finished(job) => {
                    self.add_token(job, true);
                    self.jobs.remove(&job);
                }
                EngineEvent::Crashed(_) => {
                    self.log.crashes += 1;
                    self.jobs.clear();
                    return false;
                }
            }
        }
        true
    }

    pub(super) fn add_token(&mut self, job: JobId, is_finished: bool) {
        let Some(state) = self.jobs.get(&job) else { return };
        let record = &mut self.log.records[state.record];
        record.generated_tokens += 1;
        record.is_finished = is_finished;
        let tokens = record.generated_tokens;
        state.progress.send_replace(Progress { tokens, is_finished });
    }

    pub(super) fn record_report(&mut self, step_us: u64) {
        let report = LoadReport {
            running: u32::try_from(self.core.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.core.waiting()).unwrap_or(u32::MAX),
            max_batch: self.settings.max_batch,
            pending_prompt_tokens: self.core.pending_prompt_tokens(),
            step_us,
            leaving: self.leaving,
            models: self.models.clone(),
        };
        let events_end = self.core.cache().events_end();
        self.reports.push_back(TimedReport { at: Instant::now(), report, events_end });
    }

    /// Returns the number of the first event returned and the cache events from number `from` on,
    /// as they were `report_lag` ago.
    pub(super) fn lagging_events(&mut self, from: u64) -> (u64, Vec<CacheEvent>) {
        let end = self.published_report().map_or(0, |published| published.events_end);
        let (first, mut events) = self.core.cache().events_from(from);
        let visible = usize::try_from(end.saturating_sub(first)).unwrap_or(usize::MAX);
        events.truncate(visible);
        (first, events)
    }

    /// Returns the newest report that is at least `report_lag` old, and drops older reports.
    fn published_report(&mut self) -> Option<&TimedReport> {
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|next| next.at.elapsed() >= lag) {
            self.reports.pop_front();
        }
        self.reports.front().filter(|report| report.at.elapsed() >= lag)
    }

    /// Returns the load as it was `report_lag` ago. The models, the maximum batch size and whether
    /// the engine is leaving are current.
    pub(super) fn lagging_report(&mut self) -> LoadReport {
        let report =
            self.published_report().map(|published| published.report.clone()).unwrap_or_default();
        LoadReport {
            max_batch: self.settings.max_batch,
            leaving: self.leaving,
            models: self.models.clone(),
            ..report
        }
    }

    pub(super) fn apply_order(&mut self, order: &Order) -> OrderOutcome {
        if self.settings.checks_fencing && order.fencing < self.fencing {
            return OrderOutcome::Fenced(self.fencing);
        }
        self.fencing = self.fencing.max(order.fencing);
        match &order.kind {
            OrderKind::Load { model, version } => {
                if self.find_model(model, version).is_none() {
                    self.models.push(LoadedModel {
                        model: model.clone(),
                        version: version.clone(),
                        adapters: Vec::new(),
                        state: LoadState::Loading,
                    });
                }
            }
            OrderKind::Unload { model, version } => {
                self.models.retain(|it| it.model != *model || it.version != *version);
            }
            OrderKind::LoadAdapter { model, version, adapter } => {
                match self.find_model(model, version) {
                    Some(loaded) if !loaded.adapters.contains(adapter) => {
                        loaded.adapters.push(adapter.clone());
                    }
                    Some(_) => {}
                    None => return OrderOutcome::Refused,
                }
            }
            OrderKind::SetRole { .. } => {}
        }
        OrderOutcome::Accepted
    }

    pub(super) fn find_model(
        &mut self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> Option<&mut LoadedModel> {
        self.models.iter_mut().find(|it| it.model == *model && it.version == *version)
    }
}

/// Splits a request to continue an answer into the prompt and the number of answer tokens that the
/// request already contains. For other requests, that number is 0.
pub(super) fn split_continued(req: &ChatRequest) -> (Arc<[ChatMessage]>, u64) {
    let Some((last, prompt)) = req.messages.split_last().filter(|_| req.continue_final_message)
    else {
        return (req.messages.clone().into(), 0);
    };
    let text = last.content.as_str().unwrap_or_default();
    let tokens = text.split_whitespace().count() as u64;
    (prompt.to_vec().into(), tokens)
}

#[cfg(test)]
#[path = "process_tests.rs"]
mod tests;
