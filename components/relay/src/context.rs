//! State shared by all tasks of the relay.

use std::{
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use inbound::{BodyBook, BodyLimits};
use platform::Table;
use routing::{ContentKey, CrashEvidence};
use tokio::{
    sync::{Notify, oneshot},
    time::Instant,
};
use types::Timestamp;
use utils::{HashMap, HashSet, Rng};

use crate::{
    allowance::{RouterAllowances, WitnessRecords},
    client_connections::ClientConnections,
    endpoints::{Admission, AdmissionBook, EndpointRegistry},
    limits::RetryWindow,
    model::{DesiredState, ServiceSpec},
    origins::{BegunStreams, OriginBook, OriginQueries},
    peers::{GossipSocket, Roster, SelfStatus},
    ports::{ControlSource, Dialect},
    rate::Rate,
    reach::PathBook,
    room::{RoomBook, RouterRoom},
    serve::{EndpointConnections, WaitingRequests},
    settings::RelaySettings,
    stalls::{Stalls, time_suspended},
    tunnel::TunnelServer,
};

/// Time over which the rate of callers' requests is averaged.
const ARRIVAL_RATE_WINDOW: Duration = Duration::from_secs(1);

/// Number of equal shares of an endpoint's connections that one router may use. It is more than
/// one since some routers have more callers than others, and few use up their share.
const CONNECTION_SHARES_PER_ROUTER: usize = 2;

/// Minimum number of connections that a router may open to an endpoint, however many routers share
/// it.
const CONNECTIONS_MIN: usize = 2;

/// A desired state, and when this router put it in force.
#[derive(Debug)]
pub(crate) struct InForce {
    /// The desired state.
    pub(crate) state: DesiredState,
    /// When it was put in force.
    pub(crate) since: Timestamp,
}

/// State shared by all tasks of the relay. Locks are held only for computations, never across an
/// `await`.
pub(crate) struct RelayContext {
    /// Settings of the process; only the limits on retries are reloaded, into the retry window.
    pub(crate) settings: RelaySettings,
    /// Wire format for callers and endpoints.
    pub(crate) dialect: Arc<dyn Dialect>,
    /// Source of the desired state and the endpoints.
    pub(crate) source: Arc<dyn ControlSource>,
    /// The platform's table, which is the store of all rows.
    pub(crate) table: Arc<dyn Table>,
    /// Pool of connections to endpoints.
    pub(crate) connections: EndpointConnections,
    /// Connections to endpoints that other routers use through this one.
    pub(crate) tunnels: TunnelServer,
    /// Connections of clients.
    pub(crate) clients: ClientConnections,
    /// Bodies of callers' requests.
    pub(crate) bodies: BodyBook,
    /// Exchange of messages with other routers.
    pub(crate) gossip: GossipSocket,
    /// Random process number, chosen at each start of the router.
    pub(crate) process: u64,
    /// The desired state in force. Its version never decreases.
    pub(crate) in_force: ArcSwapOption<InForce>,
    /// Highest version of the desired state that another router has reported in force.
    pub(crate) newest_peer_version: AtomicU64,
    /// Notified when another router has a newer desired state in force.
    pub(crate) config_hint: Notify,
    /// Notified when a desired state has been put in force.
    pub(crate) desired_state_changed: Notify,
    /// Notified when the task that draws tokens may have work, for instance because a request
    /// needs tokens.
    pub(crate) allowance_wanted: Notify,
    /// Notified when tokens may have become available.
    pub(crate) allowance_changed: Notify,
    /// Notified when an endpoint may have capacity again.
    pub(crate) capacity_freed: Notify,
    /// Notified when another router has answered where a stream began.
    pub(crate) origin_answered: Notify,
    /// Whether the stored history of versions has been read.
    pub(crate) has_version_history: AtomicBool,
    /// Whether the streams have been read that earlier processes stored.
    pub(crate) has_begun_streams: AtomicBool,
    /// Notified when a caller waits for a read of the list of endpoints.
    pub(crate) list_wanted: Notify,
    /// Notified when the list of endpoints or the named versions have been read.
    pub(crate) versions_read: Notify,
    /// Notified when an endpoint may have a version that the store does not name.
    pub(crate) version_names_wanted: Notify,
    /// Notified when a verdict has to be stored or removed.
    pub(crate) verdicts_changed: Notify,
    /// Whether the router is shutting down.
    pub(crate) is_leaving: AtomicBool,
    /// Number of requests in progress.
    pub(crate) running: AtomicUsize,
    /// Whether this router receives far more than its share of the requests and asks callers to
    /// reconnect.
    pub(crate) is_crowded: AtomicBool,
    /// Rate of callers' requests, in requests per second.
    arrivals: Mutex<Rate>,
    start: Instant,
    /// Time for which the host was suspended before the start.
    suspended_before: Duration,
    endpoints: Mutex<EndpointRegistry>,
    paths: Mutex<PathBook>,
    admissions: Mutex<AdmissionBook>,
    open_admissions: Mutex<HashMap<u64, oneshot::Sender<Admission>>>,
    roster: Mutex<Roster>,
    allowances: Mutex<RouterAllowances>,
    retries: Mutex<RetryWindow>,
    crash_evidence: Mutex<CrashEvidence>,
    unstored_verdicts: Mutex<HashSet<ContentKey>>,
    origins: Mutex<OriginBook>,
    begun_streams: Mutex<BegunStreams>,
    origin_queries: Mutex<OriginQueries>,
    witness_records: Mutex<WitnessRecords>,
    waiting: Mutex<WaitingRequests>,
    room: Mutex<RoomBook>,
    stalls: Mutex<Stalls>,
    rng: Mutex<Rng>,
}

/// Implementations that the relay depends on and that are passed in at the start.
pub struct RelayDependencies {
    /// Wire format for callers and endpoints.
    pub dialect: Arc<dyn Dialect>,
    /// Source of the desired state and the endpoints.
    pub source: Arc<dyn ControlSource>,
    /// The platform's table, which is the store of all rows.
    pub table: Arc<dyn Table>,
}

impl RelayContext {
    /// Creates the context of a new process, with a random process number.
    pub(crate) fn new(
        settings: RelaySettings,
        dependencies: RelayDependencies,
        gossip: GossipSocket,
    ) -> RelayContext {
        let mut rng = utils::new_rng();
        let process = rand::Rng::random(&mut rng);
        let mut allowances = RouterAllowances::new(settings.name.clone(), process);
        allowances.set_role_undecided();
        let host = settings.host_limits;
        RelayContext {
            dialect: dependencies.dialect,
            source: dependencies.source,
            table: dependencies.table,
            connections: EndpointConnections::default(),
            tunnels: TunnelServer::new(host),
            clients: ClientConnections::new(host),
            bodies: BodyBook::new(BodyLimits::for_memory(host.memory_bytes)),
            gossip,
            process,
            in_force: ArcSwapOption::empty(),
            newest_peer_version: AtomicU64::new(0),
            config_hint: Notify::new(),
            desired_state_changed: Notify::new(),
            allowance_wanted: Notify::new(),
            allowance_changed: Notify::new(),
            capacity_freed: Notify::new(),
            origin_answered: Notify::new(),
            has_version_history: AtomicBool::new(false),
            has_begun_streams: AtomicBool::new(false),
            list_wanted: Notify::new(),
            versions_read: Notify::new(),
            version_names_wanted: Notify::new(),
            verdicts_changed: Notify::new(),
            is_leaving: AtomicBool::new(false),
            running: AtomicUsize::new(0),
            is_crowded: AtomicBool::new(false),
            arrivals: Mutex::new(Rate::new(ARRIVAL_RATE_WINDOW)),
            start: Instant::now(),
            suspended_before: time_suspended(),
            endpoints: Mutex::default(),
            paths: Mutex::default(),
            admissions: Mutex::default(),
            open_admissions: Mutex::default(),
            roster: Mutex::default(),
            allowances: Mutex::new(allowances),
            retries: Mutex::new(RetryWindow::new(settings.retries)),
            crash_evidence: Mutex::default(),
            unstored_verdicts: Mutex::default(),
            origins: Mutex::default(),
            begun_streams: Mutex::default(),
            origin_queries: Mutex::default(),
            witness_records: Mutex::default(),
            waiting: Mutex::default(),
            room: Mutex::new(RoomBook::new(RouterRoom {
                link_bytes_per_s: settings.host_limits.link_bytes_per_s,
                processor_millis: f64::from(settings.processor_millis),
                ..RouterRoom::default()
            })),
            stalls: Mutex::default(),
            rng: Mutex::new(rng),
            settings,
        }
    }

    /// Returns the time since the start of the process.
    pub(crate) fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.start.elapsed()
    }

    /// Returns the time since the start of the process, including time for which the host was suspended.
    /// Must not be compared with [`now`](Self::now).
    pub(crate) fn boot_now(&self) -> Timestamp {
        self.now() + time_suspended().saturating_sub(self.suspended_before)
    }

    /// Converts a timestamp to an instant of the tokio clock.
    pub(crate) fn instant(&self, at: Timestamp) -> Instant {
        self.start + Duration::from_micros(at.0)
    }

    /// Returns whether the router accepts new callers: it is not shutting down, and a desired
    /// state is in force.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving.load(Ordering::Relaxed) && self.in_force.load().is_some()
    }

    /// Counts a caller's request in the rate of arrivals.
    pub(crate) fn record_arrival(&self) {
        self.arrivals.lock().expect("the lock is not poisoned").add(1.0, self.now());
    }

    /// Returns the rate of callers' requests, in requests per second, rounded.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a rate of requests is far below the limit and not negative"
    )]
    fn arrivals_per_s(&self) -> u32 {
        self.arrivals.lock().expect("the lock is not poisoned").get(self.now()).round() as u32
    }

    /// Returns the state that this router reports about itself.
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
            room: self.lock_room().room(),
        }
    }

    /// Returns the number of connections that this router may open to an endpoint of `service`.
    pub(crate) fn connections_max(&self, service: &str) -> usize {
        let in_force = self.in_force.load();
        let spec = in_force.as_ref().and_then(|it| it.state.services.get(service));
        self.connections_share(spec)
    }

    /// Returns the number of connections that this router may open to an endpoint of a service with
    /// this specification.
    pub(crate) fn connections_share(&self, spec: Option<&ServiceSpec>) -> usize {
        let connections = spec.map_or(CONNECTIONS_MIN, |it| it.max_connections as usize);
        let share = connections * CONNECTION_SHARES_PER_ROUTER / self.lock_roster().count();
        share.min(connections).max(CONNECTIONS_MIN)
    }

    /// Returns the version of the desired state in force; zero if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.in_force.load().as_ref().map_or(0, |it| it.state.version)
    }

    /// Reports whether another router has a newer desired state in force.
    pub(crate) fn is_behind_peers(&self) -> bool {
        self.newest_peer_version.load(Ordering::Relaxed) > self.config_version()
    }

    /// Records that another router has this version in force, and notifies
    /// [`config_hint`](Self::config_hint) if it is newer than this router's version and any version
    /// reported before.
    pub(crate) fn record_peer_version(&self, version: u64) {
        let before = self.newest_peer_version.fetch_max(version, Ordering::Relaxed);
        if version > before {
            metrics::gauge!(telemetry::CONFIG_NEWEST_PEER_VERSION).set(version as f64);
        }
        let own = self.config_version();
        if version > before && version > own {
            log::info!(version, own; "another router has a newer desired state in force");
            self.config_hint.notify_one();
        }
    }

    /// Locks the endpoints.
    pub(crate) fn lock_endpoints(&self) -> MutexGuard<'_, EndpointRegistry> {
        self.endpoints.lock().expect("the lock is not poisoned")
    }

    /// Locks the paths to the endpoints.
    pub(crate) fn lock_paths(&self) -> MutexGuard<'_, PathBook> {
        self.paths.lock().expect("the lock is not poisoned")
    }

    /// Locks the requests that this router has admitted to brittle endpoints. Locked after the
    /// endpoints if both are needed.
    pub(crate) fn lock_admissions(&self) -> MutexGuard<'_, AdmissionBook> {
        self.admissions.lock().expect("the lock is not poisoned")
    }

    /// Locks the admission requests that other routers have not answered, keyed by number.
    pub(crate) fn lock_open_admissions(
        &self,
    ) -> MutexGuard<'_, HashMap<u64, oneshot::Sender<Admission>>> {
        self.open_admissions.lock().expect("the lock is not poisoned")
    }

    /// Locks the list of routers.
    pub(crate) fn lock_roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().expect("the lock is not poisoned")
    }

    /// Locks the token allowances.
    pub(crate) fn lock_allowances(&self) -> MutexGuard<'_, RouterAllowances> {
        self.allowances.lock().expect("the lock is not poisoned")
    }

    /// Locks the retry window.
    pub(crate) fn lock_retries(&self) -> MutexGuard<'_, RetryWindow> {
        self.retries.lock().expect("the lock is not poisoned")
    }

    /// Locks the evidence on what crashes endpoints.
    pub(crate) fn lock_crash_evidence(&self) -> MutexGuard<'_, CrashEvidence> {
        self.crash_evidence.lock().expect("the lock is not poisoned")
    }

    /// Locks the keys whose rows in the store this router has to write or remove.
    pub(crate) fn lock_unstored_verdicts(&self) -> MutexGuard<'_, HashSet<ContentKey>> {
        self.unstored_verdicts.lock().expect("the lock is not poisoned")
    }

    /// Locks the records of where streams began.
    pub(crate) fn lock_begun_streams(&self) -> MutexGuard<'_, BegunStreams> {
        self.begun_streams.lock().expect("the lock is not poisoned")
    }

    pub(crate) fn lock_origins(&self) -> MutexGuard<'_, OriginBook> {
        self.origins.lock().expect("the lock is not poisoned")
    }

    /// Locks the open queries for where streams began.
    pub(crate) fn lock_origin_queries(&self) -> MutexGuard<'_, OriginQueries> {
        self.origin_queries.lock().expect("the lock is not poisoned")
    }

    /// Locks the declarations that other routers have made to this one as their witness.
    pub(crate) fn lock_witness_records(&self) -> MutexGuard<'_, WitnessRecords> {
        self.witness_records.lock().expect("the lock is not poisoned")
    }

    /// Locks the requests that wait for places. No other lock is taken while it is held.
    pub(crate) fn lock_waiting(&self) -> MutexGuard<'_, WaitingRequests> {
        self.waiting.lock().expect("the lock is not poisoned")
    }

    /// Locks what is known of the room of this router.
    pub(crate) fn lock_room(&self) -> MutexGuard<'_, RoomBook> {
        self.room.lock().expect("the lock is not poisoned")
    }

    /// Checks whether the process has stalled, and returns the stalls noticed so far.
    pub(crate) fn check_for_stall(&self) -> MutexGuard<'_, Stalls> {
        let (now, boot_now) = (self.now(), self.boot_now());
        let mut stalls = self.stalls.lock().expect("the lock is not poisoned");
        stalls.check(now, boot_now);
        stalls
    }

    /// Locks the random number generator.
    pub(crate) fn lock_rng(&self) -> MutexGuard<'_, Rng> {
        self.rng.lock().expect("the lock is not poisoned")
    }
}
