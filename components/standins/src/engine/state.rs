//! Shared state of an engine, for the HTTP interface and checks.

use std::sync::{Arc, Mutex, MutexGuard};

use engine_api::{ChatRequest, LoadState, LoadedModel};
use tokio::sync::Notify;
use types::{ModelName, ModelVersion, Priority};

use super::{EngineLog, EngineSettings, process::EngineProcess, stream::EngineStream};

/// State of an engine process, and its log, which is kept across restarts. Clones share it.
#[derive(Debug, Clone)]
pub struct EngineState {
    pub(super) shared: Arc<Mutex<EngineProcess>>,
    /// Wakes the task that performs the steps when a job is submitted.
    pub(super) work: Arc<Notify>,
}

impl EngineState {
    pub(super) fn new(
        settings: EngineSettings,
        models: &[(ModelName, ModelVersion)],
    ) -> EngineState {
        let models = models.iter().map(|(model, version)| LoadedModel {
            model: model.clone(),
            version: version.clone(),
            adapters: Vec::new(),
            state: LoadState::Ready,
        });
        EngineState::from_parts(settings, models.collect(), EngineLog::default())
    }

    pub(super) fn from_parts(
        settings: EngineSettings,
        models: Vec<LoadedModel>,
        log: EngineLog,
    ) -> EngineState {
        let shared = EngineProcess::new(settings, models, log);
        EngineState { shared: Arc::new(Mutex::new(shared)), work: Arc::new(Notify::new()) }
    }

    /// Returns the state for a new process with the same settings, models and log.
    pub(super) fn restarted(&self) -> EngineState {
        let shared = self.lock();
        EngineState::from_parts(shared.settings.clone(), shared.models.clone(), shared.log.clone())
    }

    /// Returns a copy of the log.
    pub fn log(&self) -> EngineLog {
        self.lock().log.clone()
    }

    /// Returns how many prompt blocks were looked up in the cache so far, and how many were found.
    pub fn cache_counts(&self) -> (u64, u64) {
        self.lock().core.cache_counts()
    }

    /// Sets whether load reports announce that the engine is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineProcess> {
        self.shared.lock().expect("the lock is not poisoned")
    }

    /// Starts a stream. If `resumes` is set and there is a stream with the same request id, returns
    /// that stream instead.
    pub(super) fn open_stream(
        &self,
        id: &str,
        priority: Priority,
        req: &ChatRequest,
        resumes: bool,
    ) -> EngineStream {
        let mut shared = self.lock();
        shared.remove_expired_streams();
        if let Some((stream, _)) = shared.streams.get(id).filter(|_| resumes) {
            return stream.clone();
        }
        let stream = shared.submit(id, priority, req);
        self.work.notify_one();
        stream
    }
}
