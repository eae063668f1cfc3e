//! Task on the control thread that owns the scheduler.

use std::{sync::Arc, time::Duration};

use arc_swap::ArcSwap;
use errors::Result;
use rand::Rng as _;
use routing::{
    AttemptOutcome, CrashRecord, Decision, EndpointNeed, EndpointState, ResolvedWaiter, Scheduler,
    WaiterId,
};
use tokio::{
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender},
        oneshot,
    },
    time::{Instant, MissedTickBehavior},
};
use types::ConfigVersion;
use utils::{HashMap, Rng, jitter, new_rng};

use super::{
    DispatchStatus, command::Command, crash_messages::encode_crashes, granted_lease::GrantedLease,
};
use crate::{Clock, configuration::ConfigHandle, peers::Peers};

/// Interval of the sweeps that remove late and abandoned requests from the queue.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Mean interval at which quarantine records are sent again to one other router.
const RESEND_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of quarantine records that are sent again in one message.
const RESENT_RECORDS_MAX: usize = 64;

type Reply = oneshot::Sender<Result<GrantedLease>>;

/// Owns the scheduler and handles its commands.
pub(super) struct SchedulerTask {
    /// Scheduler.
    scheduler: Scheduler,
    /// Clock.
    clock: Clock,
    /// Configuration in force.
    cfg: ConfigHandle,
    /// Version of the configuration that the scheduler has.
    applied_version: Option<ConfigVersion>,
    /// Other routers.
    peers: Arc<dyn Peers>,
    /// Lets granted leases release themselves if their request no longer waits.
    commands: UnboundedSender<Command>,
    /// Status for operators.
    status: Arc<ArcSwap<DispatchStatus>>,
    /// Requests that wait for an endpoint.
    waiting: HashMap<WaiterId, Reply>,
    /// Random number generator.
    rng: Rng,
    /// Time at which quarantine records are sent again next.
    resend_at: Instant,
}

impl SchedulerTask {
    pub(super) fn new(
        scheduler: Scheduler,
        clock: Clock,
        cfg: ConfigHandle,
        peers: Arc<dyn Peers>,
        commands: UnboundedSender<Command>,
        status: Arc<ArcSwap<DispatchStatus>>,
    ) -> SchedulerTask {
        SchedulerTask {
            scheduler,
            clock,
            cfg,
            applied_version: None,
            peers,
            commands,
            status,
            waiting: HashMap::default(),
            rng: new_rng(),
            resend_at: Instant::now() + RESEND_INTERVAL,
        }
    }

    /// Handles commands until the channel of commands is closed.
    pub(super) async fn run(mut self, mut received: UnboundedReceiver<Command>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick(),
                command = received.recv() => match command {
                    Some(command) => self.handle(command),
                    None => return,
                },
            }
        }
    }

    fn handle(&mut self, command: Command) {
        self.apply_config();
        let now = self.clock.now();
        match command {
            Command::Acquire { need, reply } => return self.acquire(&need, reply),
            Command::FirstToken { lease, latency } => {
                self.scheduler.on_first_token(lease, latency, now);
            }
            Command::Finish { lease, outcome } => self.finish(lease, outcome),
            Command::Report { endpoint, report: Some(report) } => {
                self.scheduler.on_report(&endpoint, &report, now);
            }
            Command::Report { endpoint, report: None } => {
                self.scheduler.on_report_failed(&endpoint, now);
            }
            Command::CacheEvents { endpoint, events, has_gap } => {
                self.scheduler.on_cache_events(&endpoint, &events, has_gap);
            }
            Command::LeavingHosts(leaving) => self.scheduler.apply_leaving_hosts(&leaving),
            Command::Crashes(records) => {
                for record in &records {
                    self.scheduler.quarantine_mut().merge(record, now);
                }
            }
        }
        self.resolve_waiting();
    }

    fn tick(&mut self) {
        self.apply_config();
        self.cancel_abandoned();
        let late = self.scheduler.sweep(self.clock.now());
        late.into_iter().for_each(|it| self.reply(it));
        self.resolve_waiting();
        self.publish_status();
        if Instant::now() >= self.resend_at {
            self.resend_at = Instant::now() + jitter(RESEND_INTERVAL, &mut self.rng);
            self.resend_quarantined();
        }
    }

    fn apply_config(&mut self) {
        let version = self.cfg.version();
        if self.applied_version != Some(version) {
            self.scheduler.apply_config(&self.cfg.load());
            self.applied_version = Some(version);
        }
    }

    fn acquire(&mut self, need: &EndpointNeed, reply: Reply) {
        let decision = self.scheduler.submit(need, self.clock.now(), &mut self.rng);
        match decision {
            Decision::Place(lease) => {
                // If the request no longer waits, the lease releases itself.
                let _ = reply.send(Ok(GrantedLease::new(lease, self.commands.clone())));
            }
            Decision::Wait(id) => {
                self.waiting.insert(id, reply);
                self.resolve_waiting();
            }
            Decision::Refuse(error) => {
                let _ = reply.send(Err(error));
            }
        }
    }

    fn finish(&mut self, lease: u64, outcome: AttemptOutcome) {
        let now = self.clock.now();
        let changed = self.scheduler.finish(lease, outcome, now, &mut self.rng);
        if let Some(record) = changed {
            self.report_crash(&record);
        }
    }

    /// Logs and counts the loss of an endpoint and sends its record to all other routers.
    fn report_crash(&self, record: &CrashRecord) {
        let alone = if record.was_alone { "yes" } else { "no" };
        metrics::counter!(telemetry::ENDPOINT_LOSSES_TOTAL, "alone" => alone).increment(1);
        log::warn!(
            fingerprint:% = record.fingerprint, verdict:? = record.verdict(),
            endpoints:? = record.endpoints;
            "endpoint lost while it ran a request with this content"
        );
        for other in &self.peers.view().others {
            self.peers.send(&other.id.name, encode_crashes([record]));
        }
    }

    /// Sends quarantine records to one other router, which may have missed them or started
    /// later.
    fn resend_quarantined(&mut self) {
        let records = self.scheduler.quarantine().quarantined();
        let view = self.peers.view();
        if records.is_empty() || view.others.is_empty() {
            return;
        }
        let other = &view.others[self.rng.random_range(0..view.others.len())];
        let start = self.rng.random_range(0..records.len());
        let some = records.iter().cycle().skip(start).take(records.len().min(RESENT_RECORDS_MAX));
        self.peers.send(&other.id.name, encode_crashes(some));
    }

    fn resolve_waiting(&mut self) {
        let resolved = self.scheduler.poll(self.clock.now(), &mut self.rng);
        resolved.into_iter().for_each(|it| self.reply(it));
    }

    fn reply(&mut self, resolved: ResolvedWaiter) {
        let commands = &self.commands;
        let result = resolved.result.map(|lease| GrantedLease::new(lease, commands.clone()));
        if let Some(reply) = self.waiting.remove(&resolved.waiter) {
            let _ = reply.send(result);
        }
    }

    fn cancel_abandoned(&mut self) {
        let abandoned: Vec<WaiterId> =
            self.waiting.iter().filter(|(_, it)| it.is_closed()).map(|(id, _)| *id).collect();
        for id in abandoned {
            self.waiting.remove(&id);
            self.scheduler.cancel(id);
        }
    }

    fn publish_status(&self) {
        let status = DispatchStatus {
            endpoints: self.scheduler.status(self.clock.now()),
            waiting: self.scheduler.waiting(),
            quarantined: self.scheduler.quarantine().quarantined(),
        };
        use EndpointState::{Ejected, Leaving, Serving, Suspect};
        for state in [Serving, Suspect, Ejected, Leaving] {
            let count = status.endpoints.iter().filter(|it| it.state == state).count();
            metrics::gauge!(telemetry::ENDPOINTS, "state" => state.label()).set(count as f64);
        }
        metrics::gauge!(telemetry::QUEUED_REQUESTS).set(status.waiting as f64);
        metrics::gauge!(telemetry::QUARANTINED_CONTENTS).set(status.quarantined.len() as f64);
        self.status.store(Arc::new(status));
    }
}
