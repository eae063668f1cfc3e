//! The router process.

use std::{
    net::{SocketAddr, TcpListener},
    sync::atomic::Ordering,
};

use errors::{Error, ErrorKind, Result};
use socket2::{Domain, Socket, Type};
use tokio::runtime::{Builder, Runtime};

use super::{
    RequestCounter, RouterSettings, StartError, assembly::assemble, control_thread::ControlThread,
};
use crate::{
    RouterContext,
    http::{ADDRESS_LIST_MAX_AGE, HttpContext, HttpServer, LEAVE_PROPAGATION_TIME},
};

/// Length of the listen backlog, in connections. After the loss of a router or a failure
/// domain, its callers all connect to the remaining routers at once.
const ACCEPT_BACKLOG: i32 = 4_096;

/// A running router. Dropping it without [`shut_down`](RouterProcess::shut_down) aborts all
/// requests and connections, like a crash.
pub struct RouterProcess {
    /// Settings of the router.
    settings: RouterSettings,
    /// Address that callers connect to.
    caller_address: SocketAddr,
    /// Address that other routers connect to.
    peer_address: SocketAddr,
    /// Runtime of the requests; `None` once it is shut down.
    traffic: Option<Runtime>,
    /// Thread of the control tasks.
    _control: ControlThread,
    /// HTTP server; `None` once it is shut down.
    http: Option<HttpServer>,
    /// State of the HTTP handlers.
    cx: HttpContext,
}

impl RouterProcess {
    /// Starts a router.
    ///
    /// # Errors
    /// If listening on an address fails or a thread cannot be started.
    pub fn start(settings: RouterSettings) -> std::result::Result<RouterProcess, StartError> {
        let listener = listen(settings.caller_address)?;
        let caller_address = listener.local_addr()?;
        let peer_listener = listen(settings.peer_address)?;
        let peer_address = peer_listener.local_addr()?;
        let control = ControlThread::start()?;
        let traffic = Builder::new_multi_thread()
            .worker_threads(settings.traffic_threads)
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let cx = {
            let _guard = traffic.enter();
            assemble(&settings, caller_address, peer_listener, &control)?
        };
        let http = {
            let _guard = traffic.enter();
            let listener = tokio::net::TcpListener::from_std(listener)?;
            HttpServer::start(listener, cx.routes(), &settings.http_limits, cx.bodies.clone())
        };
        log::info!(
            router:% = settings.name, address:% = caller_address, peer_address:% = peer_address;
            "router serves callers"
        );
        let (traffic, http) = (Some(traffic), Some(http));
        Ok(RouterProcess {
            settings,
            caller_address,
            peer_address,
            traffic,
            _control: control,
            http,
            cx,
        })
    }

    /// Returns the address that callers connect to, with the actual port.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address that other routers connect to, with the actual port.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the services that the request handlers share, for tests.
    pub fn context(&self) -> &RouterContext {
        &self.cx.router
    }

    /// Returns a counter of requests in progress that stays valid during a shutdown.
    pub fn counter(&self) -> RequestCounter {
        RequestCounter::new(self.cx.runs.clone())
    }

    /// Shuts the router down gracefully: removes it from the address list, serves requests until
    /// callers no longer cache its address, finishes the requests in progress, settles their
    /// bills, and returns unspent tokens.
    ///
    /// # Errors
    /// If the requests or the settlement did not finish within the drain timeout.
    pub async fn shut_down(mut self) -> Result<()> {
        let clock = self.cx.router.clock;
        let deadline = clock.now() + self.settings.drain_timeout;
        log::info!(router:% = self.settings.name; "router is leaving");
        self.cx.router.peers.leave();
        self.cx.admin.controller.release().await;
        let serving_period = ADDRESS_LIST_MAX_AGE + LEAVE_PROPAGATION_TIME;
        tokio::time::sleep(serving_period.min(self.settings.drain_timeout / 2)).await;
        self.cx.is_draining.store(true, Ordering::Relaxed);
        let http = self.http.take();
        let finish = async {
            if let Some(http) = http {
                http.shut_down().await;
            }
            self.cx.runs.wait().await;
        };
        let time_left = clock.time_left_until(deadline);
        let is_finished = tokio::time::timeout(time_left, finish).await.is_ok();
        let settled = self.cx.router.accounting.drain(deadline).await;
        if !is_finished {
            let message = format!(
                "{} requests were still in progress at the drain timeout and were aborted",
                self.cx.runs.len()
            );
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
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_BACKLOG)?;
        Ok(socket.into())
    };
    open().map_err(|source| StartError::Listen { address, source })
}
