//! Creates and connects the subsystems of a router.

use std::{
    io,
    net::{SocketAddr, TcpListener},
    sync::{Arc, atomic::AtomicBool},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use client::{Connections, HttpClient, PlatformClient};
use inbound::ConnectionBook;
use membership::{DetectorSettings, Member, MemberState};
use platform::{HostList, ObjectStore, Table, WeightStore};
use telemetry::set_up_metrics;
use types::{Incarnation, RouterId};

use super::{RouterSettings, control_thread::ControlThread};
use crate::{
    Clock, RouterContext,
    accounting::GrantAccounting,
    admin::{AdminContext, TableResolver},
    configuration::{ConfigHandle, run_config_poller, start_config_spread},
    control_jobs::{ControllerContext, start_controller},
    dispatch::PolicyDispatcher,
    http::{BodyReader, HttpContext},
    peers::{
        INBOUND_MAX_CONNECTIONS, INBOUND_SHARE, PeerNetwork, PeerNetworkSettings, Peers,
        run_host_hints,
    },
    registry::{FleetRegistry, RegistryParts},
    traffic::Runs,
};

/// Interval between two updates of the load that heartbeats carry.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Creates and connects the subsystems. Their control tasks run on the control thread.
///
/// # Errors
/// If the peer listener cannot be used.
pub(super) fn assemble(
    settings: &RouterSettings,
    caller_address: SocketAddr,
    peer_listener: TcpListener,
    control: &ControlThread,
) -> io::Result<HttpContext> {
    let clock = Clock::new();
    let id = RouterId::new(settings.name.clone(), new_incarnation());
    let platform = PlatformClient::new(settings.platform_address, settings.platform_timeout);
    let objects: Arc<dyn ObjectStore> = Arc::new(platform.clone());
    let hosts: Arc<dyn HostList> = Arc::new(platform.clone());
    let weights: Arc<dyn WeightStore> = Arc::new(platform.clone());
    let table: Arc<dyn Table> = Arc::new(platform);
    let cfg = ConfigHandle::new();
    let local = Member {
        id: id.clone(),
        failure_domain: settings.failure_domain.clone(),
        caller_address,
        peer_address: peer_listener.local_addr()?,
        state: MemberState::Alive,
        load: 0,
        config_version: cfg.version(),
    };
    let peers = start_peers(settings, local, peer_listener, clock, &cfg, control)?;
    control.handle().spawn(run_host_hints(
        hosts.clone(),
        peers.view().local.peer_address.port(),
        peers.clone(),
    ));
    control.handle().spawn(run_config_poller(cfg.clone(), table.clone(), peers.clone()));
    start_config_spread(cfg.clone(), peers.clone(), utils::new_rng(), control.handle());
    let registry = FleetRegistry::start(RegistryParts {
        router: id.clone(),
        clock,
        table: table.clone(),
        objects,
        peers: peers.clone(),
    });
    let dispatcher =
        PolicyDispatcher::start(control.handle(), clock, cfg.clone(), peers.clone(), hosts);
    let rng = utils::new_rng();
    let accounting =
        GrantAccounting::start(control.handle(), clock, table.clone(), peers.clone(), rng);
    let router = RouterContext {
        clock,
        accounting: Arc::new(accounting),
        registry,
        dispatcher: Arc::new(dispatcher),
        peers: peers.clone(),
        cfg,
        table,
        stream_idle_timeout: settings.stream_idle_timeout,
        pooled: HttpClient::new(Connections::Pooled),
        unpooled: HttpClient::new(Connections::OnePerCall),
    };
    let runs = Runs::new(router.clone());
    control.handle().spawn(report_load(runs.clone(), peers.clone()));
    let controller = ControllerContext {
        router_id: id,
        clock,
        cfg: router.cfg.clone(),
        table: router.table.clone(),
        weights,
        peers: peers.clone(),
        http: router.pooled.clone(),
    };
    let bodies = BodyReader::new(settings.http_limits);
    let admin = AdminContext {
        router: router.clone(),
        bodies: bodies.clone(),
        runs: runs.clone(),
        bootstrap: settings.bootstrap_operator_key,
        resolver: Arc::new(TableResolver::new(router.table.clone(), peers)),
        controller: start_controller(controller, control.handle()),
    };
    Ok(HttpContext {
        admin,
        runs,
        router,
        bodies,
        metrics: set_up_metrics(),
        is_draining: Arc::new(AtomicBool::new(false)),
    })
}

fn start_peers(
    settings: &RouterSettings,
    local: Member,
    listener: TcpListener,
    clock: Clock,
    cfg: &ConfigHandle,
    control: &ControlThread,
) -> io::Result<Arc<PeerNetwork>> {
    let mut limits = settings.http_limits.connections(INBOUND_SHARE);
    limits.connections = limits.connections.min(INBOUND_MAX_CONNECTIONS);
    let settings = PeerNetworkSettings {
        local,
        seeds: settings.seeds.clone(),
        detector: DetectorSettings::default(),
        listener,
        inbound: ConnectionBook::new("routers", limits),
        clock,
        cfg: cfg.clone(),
    };
    PeerNetwork::start(settings, control.handle()).map(Arc::new)
}

/// Returns the incarnation of this process: the wall clock time in microseconds, so that a
/// later process of the same name has a higher one.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

/// Updates the number of requests in progress that heartbeats carry.
async fn report_load(runs: Runs, peers: Arc<PeerNetwork>) {
    loop {
        peers.set_load(runs.len());
        tokio::time::sleep(LOAD_REPORT_INTERVAL).await;
    }
}
