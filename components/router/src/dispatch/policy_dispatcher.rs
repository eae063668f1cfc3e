//! Dispatcher that applies the policy of the `routing` crate.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use arc_swap::ArcSwap;
use async_trait::async_trait;
use client::{Connections, HttpClient};
use errors::{Error, ErrorKind, Result};
use platform::HostList;
use protocol::PeerBody;
use routing::{RetryBudget, Scheduler, SchedulerSettings};
use tokio::{
    runtime::Handle,
    sync::{
        mpsc::{self, UnboundedSender},
        oneshot,
    },
};
use types::RouterId;

use super::{
    AttemptOutcome, DispatchStatus, Dispatcher, EndpointLease, EndpointNeed, command::Command,
    crash_messages::decode_crashes, host_poller::run_host_poller, load_poller::LoadPoller,
    scheduler_task::SchedulerTask,
};
use crate::{
    Clock,
    configuration::ConfigHandle,
    peers::{PeerHandler, Peers},
};

/// Maximum number of attempts of one request.
const ATTEMPTS_MAX: usize = 3;

/// Dispatcher that leaves its decisions to the scheduler on the control thread.
pub struct PolicyDispatcher {
    /// Clock.
    clock: Clock,
    /// Commands to the scheduler task.
    commands: UnboundedSender<Command>,
    /// Retry budget of this router.
    retries: Mutex<RetryBudget>,
    /// Status as last published by the scheduler task.
    status: Arc<ArcSwap<DispatchStatus>>,
}

impl PolicyDispatcher {
    /// Starts the scheduler task and the pollers on the control thread.
    pub fn start(
        control: &Handle,
        clock: Clock,
        cfg: ConfigHandle,
        peers: Arc<dyn Peers>,
        hosts: Arc<dyn HostList>,
    ) -> PolicyDispatcher {
        let (commands, received) = mpsc::unbounded_channel();
        let status = Arc::new(ArcSwap::from_pointee(DispatchStatus::default()));
        let local = peers.view().local.clone();
        let settings = SchedulerSettings::default();
        let scheduler = Scheduler::new(local.id.name.clone(), local.failure_domain, settings);
        peers.subscribe(Arc::new(CrashMessageHandler { commands: commands.clone() }));
        let task =
            SchedulerTask::new(scheduler, clock, cfg, peers, commands.clone(), status.clone());
        control.spawn(task.run(received));
        control.spawn(run_host_poller(hosts, commands.clone()));
        let http = HttpClient::new(Connections::Pooled);
        control.spawn(LoadPoller::new(http, status.clone(), commands.clone()).run());
        let retries = Mutex::new(RetryBudget::new(clock.now()));
        PolicyDispatcher { clock, commands, retries, status }
    }

    fn send(&self, command: Command) {
        // The task ends only with the process.
        let _ = self.commands.send(command);
    }
}

#[async_trait]
impl Dispatcher for PolicyDispatcher {
    async fn acquire(&self, need: &EndpointNeed) -> Result<EndpointLease> {
        let started = self.clock.now();
        let (reply, granted) = oneshot::channel();
        self.send(Command::Acquire { need: Box::new(need.clone()), reply });
        let ended = || {
            Error::new(
                ErrorKind::RouterLeaving,
                "the router is shutting down; send the request to another router",
            )
        };
        let lease = granted.await.map_err(|_| ended())??.into_inner();
        let wait = self.clock.now().since(started);
        metrics::histogram!(telemetry::QUEUE_SECONDS).record(wait.as_secs_f64());
        Ok(lease)
    }

    fn report_first_token(&self, lease: &EndpointLease, latency: Duration) {
        self.send(Command::FirstToken { lease: lease.id, latency });
    }

    fn finish(&self, lease: EndpointLease, _need: &EndpointNeed, outcome: AttemptOutcome) {
        metrics::counter!(telemetry::ATTEMPTS_TOTAL, "outcome" => outcome.label()).increment(1);
        if outcome == AttemptOutcome::Completed {
            self.retries.lock().expect("the lock is not poisoned").on_success();
        }
        self.send(Command::Finish { lease: lease.id, outcome });
    }

    fn may_retry(&self, need: &EndpointNeed, outcome: AttemptOutcome) -> bool {
        let is_useful = match outcome {
            AttemptOutcome::NotSent
            | AttemptOutcome::Refused
            | AttemptOutcome::Lost
            | AttemptOutcome::TimedOut => true,
            AttemptOutcome::Completed | AttemptOutcome::Rejected | AttemptOutcome::Cancelled => {
                false
            }
        };
        let now = self.clock.now();
        if !is_useful || need.avoid.len() >= ATTEMPTS_MAX || now >= need.deadline {
            return false;
        }
        let is_allowed = self.retries.lock().expect("the lock is not poisoned").try_take(now);
        if !is_allowed {
            metrics::counter!(telemetry::RETRIES_DENIED_TOTAL, "reason" => outcome.label())
                .increment(1);
        }
        is_allowed
    }

    fn status(&self) -> Arc<DispatchStatus> {
        self.status.load_full()
    }
}

/// Passes crash records of other routers to the scheduler task.
struct CrashMessageHandler {
    /// Commands to the scheduler task.
    commands: UnboundedSender<Command>,
}

impl PeerHandler for CrashMessageHandler {
    fn on_message(&self, _from: &RouterId, body: &PeerBody) {
        if let PeerBody::Routing(message) = body {
            let _ = self.commands.send(Command::Crashes(decode_crashes(message)));
        }
    }
}
