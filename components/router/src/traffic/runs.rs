//! Runs of requests that are in progress.

use std::{
    future::Future,
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex, MutexGuard},
};

use errors::{Error, ErrorKind};
use futures::FutureExt;
use tokio_util::task::TaskTracker;
use types::{RequestKey, Timestamp};
use utils::HashMap;

use super::{ActionJob, ChatJob, action_run::run_action, chat_run::run_chat};
use crate::{
    RouterContext,
    answer::{AnswerEnd, AnswerLog, KeptAnswer},
};

/// Starts runs and tracks those in progress. A run continues if its caller disconnects, so
/// that the caller's retry can join it.
#[derive(Clone)]
pub(crate) struct Runs {
    /// Shared services that every run needs.
    cx: RouterContext,
    /// Tracks the tasks of the runs in progress.
    tracker: TaskTracker,
    /// Start time of each run in progress.
    started: Arc<Mutex<HashMap<RequestKey, Timestamp>>>,
}

impl Runs {
    /// Creates an instance without runs.
    pub(crate) fn new(cx: RouterContext) -> Runs {
        Runs { cx, tracker: TaskTracker::new(), started: Arc::default() }
    }

    /// Starts the run of a chat request, which writes its answer to `log`.
    pub(crate) fn start_chat(&self, job: ChatJob, log: Arc<AnswerLog>) {
        let (cx, key) = (self.cx.clone(), job.key.clone());
        let run_log = log.clone();
        self.start(key, log, async move { run_chat(&cx, &job, &run_log).await });
    }

    /// Starts the run of an action, which writes its answer to `log`.
    pub(crate) fn start_action(&self, job: ActionJob, log: Arc<AnswerLog>) {
        let (cx, key) = (self.cx.clone(), job.key.clone());
        let run_log = log.clone();
        self.start(key, log, async move { run_action(&cx, &job, &run_log).await });
    }

    /// Returns the number of runs in progress.
    pub(crate) fn len(&self) -> usize {
        self.tracker.len()
    }

    /// Returns the requests in progress and their start times.
    pub(crate) fn running(&self) -> Vec<(RequestKey, Timestamp)> {
        self.lock_started().iter().map(|(key, started)| (key.clone(), *started)).collect()
    }

    fn lock_started(&self) -> MutexGuard<'_, HashMap<RequestKey, Timestamp>> {
        self.started.lock().expect("the lock is not poisoned")
    }

    /// Waits until no run is in progress. No run may be started afterwards.
    pub(crate) async fn wait(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    fn start(
        &self,
        key: RequestKey,
        log: Arc<AnswerLog>,
        run: impl Future<Output = Result<AnswerEnd, Error>> + Send + 'static,
    ) {
        let registry = self.cx.registry.clone();
        let started = self.cx.clock.now();
        let clock = self.cx.clock;
        let runs = self.clone();
        runs.lock_started().insert(key.clone(), started);
        self.tracker.spawn(async move {
            let run = AssertUnwindSafe(run).catch_unwind().await;
            let result = run.unwrap_or_else(|_| {
                Err(Error::new(ErrorKind::Internal, "the task that ran the request panicked"))
            });
            let result = result.map(|end| to_kept_answer(&log, end));
            runs.lock_started().remove(&key);
            // The registry is told of the end first, so that no retry joins a run that has ended.
            match registry.end(&key, result).await {
                Ok(answer) => log.finish(answer.end.clone()),
                Err(error) => {
                    log::info!(
                        account:% = key.account, request_id:% = key.id, code = error.kind().code();
                        "request failed: {error}"
                    );
                    log.fail(error);
                }
            }
            let seconds = clock.now().since(started).as_secs_f64();
            metrics::histogram!(telemetry::REQUEST_SECONDS).record(seconds);
        });
    }
}

fn to_kept_answer(log: &AnswerLog, end: AnswerEnd) -> Arc<KeptAnswer> {
    let head = log.head().expect("a complete answer has a head");
    Arc::new(KeptAnswer { head, body: log.body(), end })
}
