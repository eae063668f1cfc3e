//! A router process.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use client::{Connections, HttpClient, PlatformClient};
use errors::{Error, ErrorKind, Result};
use membership::{Member, MemberState};
use platform::{HostList, ObjectStore, Table};
use rand::Rng as _;
use telemetry::set_up_metrics;
use tokio::runtime::{Builder, Runtime};
use types::{Incarnation, RouterId};

use super::{RequestCounter, RouterSettings, StartError, control_thread::ControlThread};
use crate::{
    Clock, RouterContext,
    accounting::PerRequestAccounting,
    admin::{AdminContext, NoResolver},
    configuration::{ConfigHandle, run_config_poller},
    dispatch::PolicyDispatcher,
    http::{HttpContext, HttpServer, KEEP_ADDRESSES},
    peers::{AloneRouter, Peers},
    registry::{FleetRegistry, RegistryParts},
    traffic::Runs,
};

/// A router process. Dropping it without [`shut_down`](RouterProcess::shut_down) cuts
/// off everything, as a crash does.
pub struct RouterProcess {
    /// Settings.
    settings: RouterSettings,
    /// Address for callers.
    caller_address: SocketAddr,
    /// Runtime that carries traffic; `None` once it is shut down.
    traffic: Option<Runtime>,
    /// Thread that owns control state.
    _control: ControlThread,
    /// HTTP server; `None` once it is shut down.
    http: Option<HttpServer>,
    /// What the handlers need.
    cx: HttpContext,
}

impl RouterProcess {
    /// Starts a router.
    ///
    /// # Errors
    /// Where an address cannot be listened on or a thread cannot be started.
    pub fn start(settings: RouterSettings) -> std::result::Result<RouterProcess, StartError> {
        let listener = listen(settings.caller_address)?;
        let caller_address = listener.local_addr()?;
        let control = ControlThread::start()?;
        let traffic = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let cx = {
            let _guard = traffic.enter();
            assemble(&settings, caller_address, &control)
        };
        let http = {
            let _guard = traffic.enter();
            HttpServer::start(tokio::net::TcpListener::from_std(listener)?, cx.routes())
        };
        log::info!(
            router:% = settings.name, address:% = caller_address;
            "router serves callers"
        );
        let (traffic, http) = (Some(traffic), Some(http));
        Ok(RouterProcess { settings, caller_address, traffic, _control: control, http, cx })
    }

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns what every request needs, for checks and administration.
    pub fn context(&self) -> &RouterContext {
        &self.cx.router
    }

    /// Returns the counter of requests in progress, which outlives a shutdown.
    pub fn counter(&self) -> RequestCounter {
        RequestCounter::new(self.cx.runs.clone())
    }

    /// Ends the process gracefully: leaves the address list, serves until callers no
    /// longer keep its address, finishes the requests in progress, settles, and returns
    /// unspent tokens.
    ///
    /// # Errors
    /// Where the requests or the settlement did not end within the drain timeout.
    pub async fn shut_down(mut self) -> Result<()> {
        let clock = self.cx.router.clock;
        let deadline = clock.now() + self.settings.drain_timeout;
        log::info!(router:% = self.settings.name; "router is leaving");
        self.cx.router.peers.leave();
        tokio::time::sleep(KEEP_ADDRESSES.min(self.settings.drain_timeout / 2)).await;
        self.cx.is_closed.store(true, Ordering::Relaxed);
        let http = self.http.take();
        let finish = async {
            if let Some(http) = http {
                http.shut_down().await;
            }
            self.cx.runs.wait().await;
        };
        let left = clock.left_until(deadline);
        let is_finished = tokio::time::timeout(left, finish).await.is_ok();
        let settled = self.cx.router.accounting.drain(deadline).await;
        if !is_finished {
            let message = format!("{} requests were cut off", self.cx.runs.len());
            return Err(Error::new(ErrorKind::DeadlineWhileRunning, message));
        }
        settled
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

fn listen(address: SocketAddr) -> std::result::Result<TcpListener, StartError> {
    let bind = || {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        Ok(listener)
    };
    bind().map_err(|source| StartError::Listen { address, source })
}

/// Joins the subsystems. Their control tasks run on the control thread.
fn assemble(
    settings: &RouterSettings,
    caller_address: SocketAddr,
    control: &ControlThread,
) -> HttpContext {
    let clock = Clock::new();
    let id = RouterId::new(settings.name.clone(), Incarnation(utils::new_rng().random()));
    let platform = PlatformClient::new(settings.platform_address, settings.platform_timeout);
    let objects: Arc<dyn ObjectStore> = Arc::new(platform.clone());
    let hosts: Arc<dyn HostList> = Arc::new(platform.clone());
    let table: Arc<dyn Table> = Arc::new(platform);
    let cfg = ConfigHandle::new();
    let local = Member {
        id: id.clone(),
        failure_domain: settings.failure_domain.clone(),
        caller_address,
        peer_address: settings.peer_address,
        state: MemberState::Alive,
        load: 0,
        config_version: cfg.version(),
    };
    let peers: Arc<dyn Peers> = Arc::new(AloneRouter::new(local));
    control.handle().spawn(run_config_poller(cfg.clone(), table.clone(), peers.clone()));
    let registry = FleetRegistry::start(RegistryParts {
        router: id,
        clock,
        table: table.clone(),
        objects,
        peers: peers.clone(),
    });
    let dispatcher =
        PolicyDispatcher::start(control.handle(), clock, cfg.clone(), peers.clone(), hosts);
    let router = RouterContext {
        clock,
        accounting: Arc::new(PerRequestAccounting::new(table.clone(), clock)),
        registry,
        dispatcher: Arc::new(dispatcher),
        peers,
        cfg,
        table,
        pooled: HttpClient::new(Connections::Kept),
        unpooled: HttpClient::new(Connections::OnePerCall),
    };
    let runs = Runs::new(router.clone());
    let admin = AdminContext {
        router: router.clone(),
        runs: runs.clone(),
        bootstrap: settings.bootstrap_operator_key,
        resolver: Arc::new(NoResolver),
    };
    HttpContext {
        admin,
        runs,
        router,
        metrics: set_up_metrics(),
        is_closed: Arc::new(AtomicBool::new(false)),
    }
}
