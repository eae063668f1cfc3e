//! What one process of an engine holds in memory.

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

/// Most tokens that an engine generates for a request without a limit of its own.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// What one process of an engine holds in memory.
#[derive(Debug)]
pub(super) struct EngineProcess {
    /// Settings.
    pub(super) settings: EngineSettings,
    /// Batching.
    pub(super) core: EngineCore,
    /// Jobs that run or wait.
    pub(super) jobs: HashMap<JobId, JobState>,
    /// Streams by request id.
    pub(super) streams: HashMap<String, (EngineStream, Instant)>,
    /// Number of the next job.
    pub(super) next_job: u64,
    /// Loaded models.
    pub(super) models: Vec<LoadedModel>,
    /// Highest fencing number seen.
    pub(super) fencing: FencingNumber,
    /// Recent reports, oldest first.
    pub(super) reports: VecDeque<TimedReport>,
    /// Whether the engine is about to leave.
    pub(super) leaving: bool,
    /// Log.
    pub(super) log: EngineLog,
}

/// A report and when it was made.
#[derive(Debug)]
pub(super) struct TimedReport {
    /// When it was made.
    at: Instant,
    /// Load.
    report: LoadReport,
    /// Number after that of the last cache event.
    events_end: u64,
}

/// A job that runs or waits.
#[derive(Debug)]
pub(super) struct JobState {
    /// Place in the log.
    pub(super) record: usize,
    /// Tells the stream how far the answer is.
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

    pub(super) fn forget_old_streams(&mut self) {
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
        let whole = expected_tokens(&messages, max_tokens.saturating_add(skipped));
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
            output_tokens: whole.saturating_sub(skipped).max(1),
            is_poison: is_poison(&messages),
        });
        let stream = EngineStream { messages, skipped, prompt_tokens, progress };
        self.streams.insert(id.to_owned(), (stream.clone(), Instant::now()));
        stream
    }

    /// Applies the events of a step; false where the engine crashed.
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

    /// Returns the cache events from number `from` on as they were `report_lag` ago, with
    /// the number of the first.
    pub(super) fn lagging_events(&mut self, from: u64) -> (u64, Vec<CacheEvent>) {
        let end = self.old_report().map_or(0, |old| old.events_end);
        let (first, mut events) = self.core.cache().events_from(from);
        let published = usize::try_from(end.saturating_sub(first)).unwrap_or(usize::MAX);
        events.truncate(published);
        (first, events)
    }

    /// Returns the newest report that is at least `report_lag` old.
    fn old_report(&mut self) -> Option<&TimedReport> {
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|next| next.at.elapsed() >= lag) {
            self.reports.pop_front();
        }
        self.reports.front().filter(|report| report.at.elapsed() >= lag)
    }

    /// Returns the load as it was `report_lag` ago; loaded models are current.
    pub(super) fn lagging_report(&mut self) -> LoadReport {
        let report = self.old_report().map(|old| old.report.clone()).unwrap_or_default();
        LoadReport {
            max_batch: self.settings.max_batch,
            leaving: self.leaving,
            models: self.models.clone(),
            ..report
        }
    }

    pub(super) fn take_order(&mut self, order: &Order) -> OrderOutcome {
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

/// Splits a request to continue an answer into the prompt and the number of tokens
/// that the answer has already.
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
mod tests {
    use std::time::Duration;

    use super::*;

    #[tokio::test(start_paused = true)]
    async fn cache_events_come_late() {
        let settings =
            EngineSettings { report_lag: Duration::from_secs(1), ..EngineSettings::default() };
        let mut engine = EngineProcess::new(settings, Vec::new(), EngineLog::default());
        engine.core.import_blocks(&[1, 2]);
        engine.record_report(0);
        engine.core.import_blocks(&[3]);
        assert_eq!(engine.lagging_events(0), (0, Vec::new()));
        tokio::time::advance(Duration::from_secs(1)).await;
        let expected = vec![CacheEvent::Stored(1), CacheEvent::Stored(2)];
        assert_eq!(engine.lagging_events(0), (0, expected));
        assert_eq!(engine.lagging_events(2), (2, Vec::new()));
    }
}
