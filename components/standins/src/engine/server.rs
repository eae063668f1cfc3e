//! HTTP interface of an engine.

use std::{
    collections::VecDeque,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
};

use bytes::Bytes;
use engine_api::{
    ADAPTER_HEADER, CacheEvents, ChatChunk, ChatMessage, ChatRequest, DONE_MARK, LoadReport,
    LoadState, LoadedModel, MODEL_VERSION_HEADER, Order, OrderKind, OrderOutcome, PRIORITY_HEADER,
    REQUEST_ID_HEADER, RESUME_FROM_HEADER, encode_event, prompt_blocks,
};
use futures::{Stream, StreamExt, stream};
use tokio::{
    sync::{Notify, watch},
    task::AbortHandle,
    time::Instant,
};
use types::{FencingNumber, ModelName, ModelVersion, Priority};
use utils::HashMap;
use viz::{IntoResponse, Request, RequestExt, Response, ResponseExt, Result, Router, StatusCode};

use super::{
    EngineCore, EngineEvent, EngineLog, EngineRecord, EngineSettings, Job, JobId,
    answer::{expected_tokens, is_poison, prompt_tokens, token_text},
    stream::{EngineStream, Progress},
};
use crate::ServerHandle;

/// Most tokens that an engine generates for a request without a limit of its own.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// What an engine process holds, and its log, which outlives it.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// State shared with the HTTP interface.
    shared: Arc<Mutex<Shared>>,
    /// Tells the driver that there is work.
    work: Arc<Notify>,
}

#[derive(Debug)]
struct Shared {
    /// Settings.
    settings: EngineSettings,
    /// Batching.
    core: EngineCore,
    /// Jobs that run or wait.
    jobs: HashMap<JobId, JobState>,
    /// Streams by request id.
    streams: HashMap<String, (EngineStream, Instant)>,
    /// Number of the next job.
    next_job: u64,
    /// Loaded models.
    models: Vec<LoadedModel>,
    /// Highest fencing number seen.
    fencing: FencingNumber,
    /// Recent load reports, oldest first.
    reports: VecDeque<(Instant, LoadReport)>,
    /// Whether the engine is about to leave.
    leaving: bool,
    /// Log.
    log: EngineLog,
}

#[derive(Debug)]
struct JobState {
    /// Place in the log.
    record: usize,
    /// Tells the stream how far the answer is.
    progress: watch::Sender<Progress>,
}

/// A running engine. Dropping it kills the process.
#[derive(Debug)]
pub struct EngineServer {
    /// HTTP interface.
    http: ServerHandle,
    /// State.
    state: EngineState,
    /// Ends the driver.
    driver: AbortHandle,
}

impl EngineServer {
    /// Starts an engine that has `models` loaded.
    ///
    /// # Errors
    /// Where the address cannot be listened on.
    pub async fn start(
        address: SocketAddr,
        settings: EngineSettings,
        models: &[(ModelName, ModelVersion)],
    ) -> io::Result<EngineServer> {
        EngineServer::start_with(address, EngineState::new(settings, models)).await
    }

    /// Starts an engine with the log of an earlier one and nothing else of it.
    ///
    /// # Errors
    /// Where the address cannot be listened on.
    pub async fn restart(address: SocketAddr, state: &EngineState) -> io::Result<EngineServer> {
        EngineServer::start_with(address, state.restarted()).await
    }

    async fn start_with(address: SocketAddr, state: EngineState) -> io::Result<EngineServer> {
        let http = ServerHandle::start(address, routes(&state)).await?;
        let (driven, process) = (state.clone(), http.abort_handle());
        let driver = tokio::spawn(async move {
            drive(driven).await;
            // The engine crashed, and with it its process.
            process.abort();
        });
        let driver = driver.abort_handle();
        Ok(EngineServer { http, state, driver })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.http.address()
    }

    /// Returns the state.
    pub fn state(&self) -> &EngineState {
        &self.state
    }

    /// Kills the process: its connections break.
    pub fn kill(&self) {
        self.http.kill();
        self.driver.abort();
        self.state.lock().jobs.clear();
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.kill();
    }
}

impl EngineState {
    fn new(settings: EngineSettings, models: &[(ModelName, ModelVersion)]) -> EngineState {
        let models = models.iter().map(|(model, version)| LoadedModel {
            model: model.clone(),
            version: version.clone(),
            adapters: Vec::new(),
            state: LoadState::Ready,
        });
        EngineState::from_parts(settings, models.collect(), EngineLog::default())
    }

    fn from_parts(
        settings: EngineSettings,
        models: Vec<LoadedModel>,
        log: EngineLog,
    ) -> EngineState {
        let shared = Shared {
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
        };
        EngineState { shared: Arc::new(Mutex::new(shared)), work: Arc::new(Notify::new()) }
    }

    fn restarted(&self) -> EngineState {
        let shared = self.lock();
        EngineState::from_parts(shared.settings.clone(), shared.models.clone(), shared.log.clone())
    }

    /// Returns a copy of the log.
    pub fn log(&self) -> EngineLog {
        self.lock().log.clone()
    }

    /// Returns prompt blocks seen and found in the cache so far.
    pub fn cache_counts(&self) -> (u64, u64) {
        self.lock().core.cache_counts()
    }

    /// Says in load reports that the engine is about to leave.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().expect("no holder of the lock panics")
    }

    /// Starts a stream, or finds the one with the same request id.
    fn open_stream(
        &self,
        id: &str,
        priority: Priority,
        req: &ChatRequest,
        resumes: bool,
    ) -> EngineStream {
        let mut shared = self.lock();
        shared.forget_old_streams();
        if let Some((stream, _)) = shared.streams.get(id).filter(|_| resumes) {
            return stream.clone();
        }
        let stream = shared.submit(id, priority, req);
        self.work.notify_one();
        stream
    }
}

impl Shared {
    fn forget_old_streams(&mut self) {
        let window = self.settings.resume_window;
        self.streams.retain(|_, (stream, opened)| {
            opened.elapsed() < window || !stream.progress.borrow().is_finished
        });
    }

    fn submit(&mut self, id: &str, priority: Priority, req: &ChatRequest) -> EngineStream {
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
    fn apply(&mut self, events: &[EngineEvent]) -> bool {
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

    fn add_token(&mut self, job: JobId, is_finished: bool) {
        let Some(state) = self.jobs.get(&job) else { return };
        let record = &mut self.log.records[state.record];
        record.generated_tokens += 1;
        record.is_finished = is_finished;
        let tokens = record.generated_tokens;
        state.progress.send_replace(Progress { tokens, is_finished });
    }

    fn record_report(&mut self, step_us: u64) {
        let report = LoadReport {
            running: u32::try_from(self.core.running()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.core.waiting()).unwrap_or(u32::MAX),
            max_batch: self.settings.max_batch,
            pending_prompt_tokens: self.core.pending_prompt_tokens(),
            step_us,
            leaving: self.leaving,
            models: self.models.clone(),
        };
        self.reports.push_back((Instant::now(), report));
    }

    /// Returns the load as it was `report_lag` ago; loaded models are current.
    fn lagging_report(&mut self) -> LoadReport {
        let lag = self.settings.report_lag;
        while self.reports.get(1).is_some_and(|(at, _)| at.elapsed() >= lag) {
            self.reports.pop_front();
        }
        let old = self.reports.front().filter(|(at, _)| at.elapsed() >= lag);
        let report = old.map(|(_, report)| report.clone()).unwrap_or_default();
        LoadReport {
            max_batch: self.settings.max_batch,
            leaving: self.leaving,
            models: self.models.clone(),
            ..report
        }
    }

    fn take_order(&mut self, order: &Order) -> OrderOutcome {
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

    fn find_model(
        &mut self,
        model: &ModelName,
        version: &ModelVersion,
    ) -> Option<&mut LoadedModel> {
        self.models.iter_mut().find(|it| it.model == *model && it.version == *version)
    }
}

/// Splits a request to continue an answer into the prompt and the number of tokens
/// that the answer has already.
fn split_continued(req: &ChatRequest) -> (Arc<[ChatMessage]>, u64) {
    let Some((last, prompt)) = req.messages.split_last().filter(|_| req.continue_final_message)
    else {
        return (req.messages.clone().into(), 0);
    };
    let text = last.content.as_str().unwrap_or_default();
    let tokens = text.split_whitespace().count() as u64;
    (prompt.to_vec().into(), tokens)
}

/// Performs steps for as long as the engine lives.
async fn drive(state: EngineState) {
    let mut last_report = Instant::now();
    loop {
        let step = state.lock().core.step();
        let Some(step) = step else {
            state.lock().record_report(0);
            let pause = state.lock().settings.report_lag;
            let _ = tokio::time::timeout(pause, state.work.notified()).await;
            continue;
        };
        tokio::time::sleep(step.duration).await;
        let mut shared = state.lock();
        if !shared.apply(&step.events) {
            return;
        }
        if last_report.elapsed() > shared.settings.report_lag / 4 {
            last_report = Instant::now();
            let step_us = u64::try_from(step.duration.as_micros()).unwrap_or(u64::MAX);
            shared.record_report(step_us);
        }
    }
}

fn routes(state: &EngineState) -> Router {
    let (chat, load, orders) = (state.clone(), state.clone(), state.clone());
    let (cancel, events) = (state.clone(), state.clone());
    Router::new()
        .post("/v1/chat/completions", move |req| serve_chat(chat.clone(), req))
        .delete("/v1/streams/*", move |req| cancel_stream(cancel.clone(), req))
        .get("/v1/load", move |_: Request| serve_load(load.clone()))
        .post("/v1/orders", move |req| serve_order(orders.clone(), req))
        .get("/v1/cache/events/:from", move |req| serve_events(events.clone(), req))
}

async fn serve_load(state: EngineState) -> Result<Response> {
    let report = state.lock().lagging_report();
    Ok(Response::json(report)?)
}

async fn serve_order(state: EngineState, mut req: Request) -> Result<Response> {
    let order: Order = req.json().await?;
    let outcome = state.lock().take_order(&order);
    if let (OrderOutcome::Accepted, OrderKind::Load { model, version }) = (outcome, order.kind) {
        let load_time = state.lock().settings.load_time;
        tokio::spawn(async move {
            tokio::time::sleep(load_time).await;
            if let Some(loaded) = state.lock().find_model(&model, &version) {
                loaded.state = LoadState::Ready;
            }
        });
    }
    Ok(Response::json(outcome)?)
}

async fn serve_events(state: EngineState, req: Request) -> Result<Response> {
    let from: u64 = req.param("from")?;
    let (first, events) = state.lock().core.cache().events_from(from);
    Ok(Response::json(CacheEvents { first, events })?)
}

async fn cancel_stream(state: EngineState, req: Request) -> Result<Response> {
    let id = req.path().trim_start_matches("/v1/streams/").to_owned();
    let mut shared = state.lock();
    shared.streams.remove(&id);
    let record = shared.log.records.iter().rposition(|record| record.request_id == id);
    let job = shared.jobs.iter().find(|(_, job)| Some(job.record) == record).map(|(id, _)| *id);
    if let Some(job) = job {
        shared.core.cancel(job);
        shared.jobs.remove(&job);
    }
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn serve_chat(state: EngineState, mut req: Request) -> Result<Response> {
    let id = header(&req, REQUEST_ID_HEADER).unwrap_or_default();
    let priority = match header(&req, PRIORITY_HEADER).as_deref() {
        Some("0") => Priority::Bulk,
        Some("2") => Priority::Urgent,
        _ => Priority::Normal,
    };
    let resume_from = header(&req, RESUME_FROM_HEADER).and_then(|text| text.parse().ok());
    let version = header(&req, MODEL_VERSION_HEADER);
    let adapter = header(&req, ADAPTER_HEADER);
    let chat: ChatRequest = req.json().await?;
    if !is_ready(&state, &chat.model, version.as_deref(), adapter.as_deref()) {
        return Ok((StatusCode::NOT_FOUND, "model not loaded").into_response());
    }
    let stream = state.open_stream(&id, priority, &chat, resume_from.is_some());
    let chunks = encode_chunks(id, chat.model, stream, resume_from.unwrap_or(0));
    let mut res = Response::stream(chunks);
    let event_stream = http::HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(http::header::CONTENT_TYPE, event_stream);
    Ok(res)
}

fn header(req: &Request, name: &str) -> Option<String> {
    req.headers().get(name)?.to_str().ok().map(str::to_owned)
}

fn is_ready(
    state: &EngineState,
    model: &str,
    version: Option<&str>,
    adapter: Option<&str>,
) -> bool {
    state.lock().models.iter().any(|it| {
        it.state == LoadState::Ready
            && it.model.as_str() == model
            && version.is_none_or(|version| it.version.as_str() == version)
            && adapter.is_none_or(|adapter| it.adapters.iter().any(|it| it.as_str() == adapter))
    })
}

/// Encodes the tokens from number `from` on as they are generated. The byte stream
/// breaks off where the engine crashes.
fn encode_chunks(
    id: String,
    model: String,
    stream: EngineStream,
    from: u64,
) -> impl Stream<Item = io::Result<Bytes>> + Send {
    let chunks = stream::unfold((stream, Some(from)), move |(mut stream, sent)| {
        let (id, model) = (id.clone(), model.clone());
        async move {
            let sent = sent?;
            let reached = stream.progress.wait_for(|it| it.tokens > sent || it.is_finished);
            let reached = reached.await.map(|progress| *progress);
            let Ok(progress) = reached else {
                return Some((Err(io::ErrorKind::ConnectionReset.into()), (stream, None)));
            };
            let mut text = String::new();
            for index in sent..progress.tokens {
                text.push_str(&token_text(&stream.messages, stream.skipped + index));
            }
            let mut chunk = ChatChunk::from_text(&id, &model, &text);
            chunk.usage = Some(stream.usage());
            let mut bytes = encode_event(&chunk).to_vec();
            if progress.is_finished {
                bytes.extend(encode_event(&ChatChunk::from_finish(&id, &model, "stop")));
                bytes.extend(encode_event(&ChatChunk::from_usage(&id, &model, stream.usage())));
                bytes.extend(format!("data: {DONE_MARK}\n\n").into_bytes());
            }
            let next = (!progress.is_finished).then_some(progress.tokens);
            Some((Ok(Bytes::from(bytes)), (stream, next)))
        }
    });
    chunks.boxed()
}
