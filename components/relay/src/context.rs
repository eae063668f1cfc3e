//! What all tasks of the relay share.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use platform::Table;
use routing::Quarantine;
use tokio::{sync::Notify, time::Instant};
use types::Timestamp;
use utils::Rng;

use crate::{
    allowance::{AllowanceBook, WitnessRecords},
    endpoints::EndpointBook,
    limits::RetryWindow,
    model::DesiredState,
    peers::{GossipSocket, Roster, SelfStatus},
    ports::{ControlSource, Dialect},
    rate::Rate,
    serve::EndpointConnections,
    settings::RelaySettings,
};

/// Time over which the rate of callers' requests is averaged.
const ARRIVALS_TIME: Duration = Duration::from_secs(1);

/// A desired state in force, and when this router took it over.
#[derive(Debug)]
pub(crate) struct InForce {
    /// The state.
    pub(crate) state: DesiredState,
    /// When it was taken over.
    pub(crate) since: Timestamp,
}

/// What all tasks of the relay share. Locks are held for computations only, never across a
/// wait.
pub(crate) struct RelayContext {
    /// Settings.
    pub(crate) settings: RelaySettings,
    /// How callers and endpoints are spoken to.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Source of the desired state and the endpoints.
    pub(crate) source: Arc<dyn ControlSource>,
    /// The platform's table.
    pub(crate) table: Arc<dyn Table>,
    /// Connections to endpoints.
    pub(crate) connections: EndpointConnections,
    /// Messages to other routers.
    pub(crate) gossip: GossipSocket,
    /// Process number, drawn at the start.
    pub(crate) process: u64,
    /// The desired state in force. Its version never decreases.
    pub(crate) in_force: ArcSwapOption<InForce>,
    /// Highest version of the desired state that another router has in force.
    pub(crate) newest_seen: AtomicU64,
    /// Woken when a router has a newer desired state, or the settings changed.
    pub(crate) config_hint: Notify,
    /// Woken when a desired state was put in force.
    pub(crate) desired_state_changed: Notify,
    /// Woken when tokens are wanted.
    pub(crate) allowance_wanted: Notify,
    /// Woken when tokens have arrived.
    pub(crate) allowance_changed: Notify,
    /// Woken when a place on an endpoint is free again.
    pub(crate) place_freed: Notify,
    /// Whether the router is ending.
    pub(crate) is_leaving: AtomicBool,
    /// Requests in progress.
    pub(crate) running: AtomicUsize,
    /// Whether this router gets more than its part of the requests, or is behind with its
    /// work, and asks callers to connect anew.
    pub(crate) is_crowded: AtomicBool,
    /// Rate of callers' requests.
    arrivals: Mutex<Rate>,
    start: Instant,
    endpoints: Mutex<EndpointBook>,
    roster: Mutex<Roster>,
    allowances: Mutex<AllowanceBook>,
    retries: Mutex<RetryWindow>,
    quarantine: Mutex<Quarantine>,
    witness_records: Mutex<WitnessRecords>,
    rng: Mutex<Rng>,
}

/// What the world around the relay gives it.
pub struct RelayDependencies {
    /// How callers and endpoints are spoken to.
    pub dialect: Arc<dyn Dialect>,
    /// Source of the desired state and the endpoints.
    pub source: Arc<dyn ControlSource>,
    /// The platform's table.
    pub table: Arc<dyn Table>,
}

impl RelayContext {
    /// Creates the context of a process.
    pub(crate) fn new(
        settings: RelaySettings,
        dependencies: RelayDependencies,
        gossip: GossipSocket,
    ) -> RelayContext {
        let mut rng = utils::new_rng();
        let process = rand::Rng::random(&mut rng);
        let mut allowances = AllowanceBook::new(settings.name.clone(), process);
        allowances.leave_role_open();
        RelayContext {
            dialect: dependencies.dialect,
            source: dependencies.source,
            table: dependencies.table,
            connections: EndpointConnections::default(),
            gossip,
            process,
            in_force: ArcSwapOption::empty(),
            newest_seen: AtomicU64::new(0),
            config_hint: Notify::new(),
            desired_state_changed: Notify::new(),
            allowance_wanted: Notify::new(),
            allowance_changed: Notify::new(),
            place_freed: Notify::new(),
            is_leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            is_crowded: AtomicBool::new(false),
            arrivals: Mutex::new(Rate::new(ARRIVALS_TIME)),
            start: Instant::now(),
            endpoints: Mutex::default(),
            roster: Mutex::default(),
            allowances: Mutex::new(allowances),
            retries: Mutex::new(RetryWindow::new(settings.retries)),
            quarantine: Mutex::default(),
            witness_records: Mutex::default(),
            rng: Mutex::new(rng),
            settings,
        }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    /// Returns the instant of a point in time.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.0)
    }

    /// Tells whether the router takes new callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Relaxed) && self.in_force.load().is_some()
    }

    /// Notes a request of a caller.
    pub(crate) fn record_arrival(&self) {
        self.arrivals.lock().expect("no panic while locked").add(1.0, self.now());
    }

    /// Returns the requests of callers that arrive in a second, rounded.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate of requests is far below the limit and not negative"
    )]
    fn arrivals_per_s(&self) -> u32 {
        self.arrivals.lock().expect("no panic while locked").get(self.now()).round() as u32
    }

    /// Returns what this router says of itself.
    pub(crate) fn self_status(&self) -> SelfStatus {
        SelfStatus {
            name: self.settings.name.clone(),
            process: self.process,
            caller_address: self.settings.caller_address,
            peer_address: self.settings.peer_address,
            failure_domain: self.settings.failure_domain.clone(),
            is_ready: self.is_ready(),
            config_version: self.config_version(),
            processor_millis: self.settings.processor_millis,
            arrivals_per_s: self.arrivals_per_s(),
        }
    }

    /// Returns the version of the desired state in force, zero where there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.in_force.load().as_ref().map_or(0, |it| it.state.version)
    }

    /// Notes that another router has this version in force.
    pub(crate) fn note_config_seen(&self, version: u64) {
        let before = self.newest_seen.fetch_max(version, Ordering::Relaxed);
        if version > before && version > self.config_version() {
            self.config_hint.notify_one();
        }
    }

    /// Locks the endpoints.
    pub(crate) fn lock_endpoints(&self) -> MutexGuard<'_, EndpointBook> {
        self.endpoints.lock().expect("no panic while locked")
    }

    /// Locks the list of routers.
    pub(crate) fn lock_roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().expect("no panic while locked")
    }

    /// Locks the tokens.
    pub(crate) fn lock_allowances(&self) -> MutexGuard<'_, AllowanceBook> {
        self.allowances.lock().expect("no panic while locked")
    }

    /// Locks the counts of retries.
    pub(crate) fn lock_retries(&self) -> MutexGuard<'_, RetryWindow> {
        self.retries.lock().expect("no panic while locked")
    }

    /// Locks the quarantine.
    pub(crate) fn lock_quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().expect("no panic while locked")
    }

    /// Locks the declarations of other routers.
    pub(crate) fn lock_witness_records(&self) -> MutexGuard<'_, WitnessRecords> {
        self.witness_records.lock().expect("no panic while locked")
    }

    /// Locks the generator of random numbers.
    pub(crate) fn lock_rng(&self) -> MutexGuard<'_, Rng> {
        self.rng.lock().expect("no panic while locked")
    }
}
