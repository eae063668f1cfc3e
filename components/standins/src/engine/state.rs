//! State of an engine as the HTTP interface and checks see it.

use std::sync::{Arc, Mutex, MutexGuard};

use engine_api::{ChatRequest, LoadState, LoadedModel};
use tokio::sync::Notify;
use types::{ModelName, ModelVersion, Priority};

use super::{EngineLog, EngineSettings, process::EngineProcess, stream::EngineStream};

/// What an engine process holds, and its log, which outlives it.
#[derive(Debug, Clone)]
pub struct EngineState {
    /// State shared with the HTTP interface.
    pub(super) shared: Arc<Mutex<EngineProcess>>,
    /// Tells the driver that there is work.
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

    pub(super) fn restarted(&self) -> EngineState {
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

    pub(super) fn lock(&self) -> MutexGuard<'_, EngineProcess> {
        self.shared.lock().expect("no holder of the lock panics")
    }

    /// Starts a stream, or finds the one with the same request id.
    pub(super) fn open_stream(
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
