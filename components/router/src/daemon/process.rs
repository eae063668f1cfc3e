//! A router process.

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
    http::{HttpContext, HttpServer, KEEP_ADDRESSES, LEAVE_SPREAD},
};

/// Connections that may wait to be accepted: callers that come back together, after a
/// router or a failure domain was lost, all connect at once.
const ACCEPT_QUEUE: i32 = 4_096;

/// A router process. Dropping it without [`shut_down`](RouterProcess::shut_down) cuts
/// off everything, as a crash does.
pub struct RouterProcess {
    /// Settings.
    settings: RouterSettings,
    /// Address for callers.
    caller_address: SocketAddr,
    /// Address for the other routers.
    peer_address: SocketAddr,
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
            HttpServer::start(listener, cx.routes(), settings.http_limits.head_timeout)
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

    /// Returns the address for callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for the other routers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
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
        self.cx.admin.controller.release().await;
        let serve_on = KEEP_ADDRESSES + LEAVE_SPREAD;
        tokio::time::sleep(serve_on.min(self.settings.drain_timeout / 2)).await;
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
    let open = || {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.set_nonblocking(true)?;
        socket.bind(&address.into())?;
        socket.listen(ACCEPT_QUEUE)?;
        Ok(socket.into())
    };
    open().map_err(|source| StartError::Listen { address, source })
}
