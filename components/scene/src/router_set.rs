//! The routers of a scene.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use client::{Connections, HttpClient};
use http::{HeaderMap, Method};
use router::{RouterProcess, RouterSettings};
use types::RouterName;

use crate::{RouterSpec, SceneError, SceneSpec};

/// Maximum time for a started router to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two readiness checks of a started router.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The routers of a scene. Dropping the set kills the running routers.
pub struct RouterSet {
    spec: SceneSpec,
    /// Address of the platform's services.
    platform: SocketAddr,
    /// Running routers, by name.
    running: BTreeMap<RouterName, RouterProcess>,
}

impl RouterSet {
    /// Creates a set in which no router runs yet.
    pub fn new(spec: SceneSpec, platform: SocketAddr) -> RouterSet {
        RouterSet { spec, platform, running: BTreeMap::new() }
    }

    /// Starts all routers, one after the other, and waits until each is ready.
    ///
    /// # Errors
    /// If a router does not start or become ready in time.
    pub async fn start_all(&mut self) -> Result<(), SceneError> {
        for spec in self.spec.routers.clone() {
            self.start(&spec.name).await?;
        }
        Ok(())
    }

    /// Starts a router and waits until it is ready.
    ///
    /// # Errors
    /// If the scene has no such router, or it does not start or become ready in time.
    pub async fn start(&mut self, name: &RouterName) -> Result<(), SceneError> {
        let spec = self.spec.routers.iter().find(|it| it.name == *name);
        let spec = spec.ok_or_else(|| SceneError::NoRouter(name.clone()))?;
        let process = RouterProcess::start(self.settings_of(spec))?;
        let address = process.caller_address();
        self.running.insert(name.clone(), process);
        wait_until_ready(name, address).await
    }

    /// Kills a router, which cuts off everything in progress on it.
    ///
    /// # Errors
    /// If the router is not running.
    pub fn kill(&mut self, name: &RouterName) -> Result<(), SceneError> {
        let killed = self.running.remove(name);
        killed.map(drop).ok_or_else(|| SceneError::NoRouter(name.clone()))
    }

    /// Removes a running router from the set and returns it, so that it can be shut down alone.
    ///
    /// # Errors
    /// If the router is not running.
    pub fn remove(&mut self, name: &RouterName) -> Result<RouterProcess, SceneError> {
        self.running.remove(name).ok_or_else(|| SceneError::NoRouter(name.clone()))
    }

    /// Returns a router if it is running.
    pub fn get(&self, name: &RouterName) -> Option<&RouterProcess> {
        self.running.get(name)
    }

    /// Returns the running routers, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = (&RouterName, &RouterProcess)> {
        self.running.iter()
    }

    /// Returns the addresses on which the running routers accept callers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.running.values().map(RouterProcess::caller_address).collect()
    }

    /// Shuts down all running routers gracefully and concurrently.
    ///
    /// # Errors
    /// If a router did not shut down gracefully.
    pub async fn shut_down_all(&mut self) -> Result<(), SceneError> {
        let running = std::mem::take(&mut self.running);
        let shutdowns = running.into_values().map(RouterProcess::shut_down);
        for result in futures::future::join_all(shutdowns).await {
            result?;
        }
        Ok(())
    }

    fn settings_of(&self, spec: &RouterSpec) -> RouterSettings {
        let address = self.spec.address_of(&spec.failure_domain);
        let seeds = self.running.values().map(|it| it.context().peers.view().local.peer_address);
        RouterSettings {
            name: spec.name.clone(),
            failure_domain: spec.failure_domain.clone(),
            caller_address: address,
            peer_address: address,
            seeds: seeds.collect(),
            bootstrap_operator_key: None,
            platform_address: self.platform,
            platform_timeout: Duration::from_secs(2),
            http_limits: self.spec.http_limits,
            drain_timeout: self.spec.drain_timeout,
            stream_idle_timeout: self.spec.stream_idle_timeout,
            traffic_threads: 2,
        }
    }
}

async fn wait_until_ready(name: &RouterName, address: SocketAddr) -> Result<(), SceneError> {
    let http = HttpClient::new(Connections::OnePerCall);
    let started = Instant::now();
    while started.elapsed() < READY_TIMEOUT {
        let (headers, body) = (HeaderMap::new(), Bytes::new());
        let res = http.call(address, Method::GET, "/ready", headers, body, READY_TIMEOUT).await;
        if res.is_ok_and(|res| res.status().is_success()) {
            return Ok(());
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
    Err(SceneError::NotReady(name.clone()))
}
