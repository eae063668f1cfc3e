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

/// Longest time for a router to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two looks whether a router is ready.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// The routers of a scene, by name.
pub struct RouterSet {
    /// What the scene is made of.
    spec: SceneSpec,
    /// Address of the platform.
    platform: SocketAddr,
    /// Running routers.
    running: BTreeMap<RouterName, RouterProcess>,
}

impl RouterSet {
    /// Creates a set without running routers.
    pub fn new(spec: SceneSpec, platform: SocketAddr) -> RouterSet {
        RouterSet { spec, platform, running: BTreeMap::new() }
    }

    /// Starts all routers and waits until they are ready.
    ///
    /// # Errors
    /// Where one does not start or is not ready in time.
    pub async fn start_all(&mut self) -> Result<(), SceneError> {
        for spec in self.spec.routers.clone() {
            self.start(&spec.name).await?;
        }
        Ok(())
    }

    /// Starts a router and waits until it is ready.
    ///
    /// # Errors
    /// Where it does not start or is not ready in time.
    pub async fn start(&mut self, name: &RouterName) -> Result<(), SceneError> {
        let spec = self.spec.routers.iter().find(|it| it.name == *name);
        let spec = spec.ok_or_else(|| SceneError::NoRouter(name.clone()))?;
        let process = RouterProcess::start(self.settings_of(spec))?;
        let address = process.caller_address();
        self.running.insert(name.clone(), process);
        wait_until_ready(name, address).await
    }

    /// Kills a router: everything in progress on it is cut off.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn kill(&mut self, name: &RouterName) -> Result<(), SceneError> {
        let killed = self.running.remove(name);
        killed.map(drop).ok_or_else(|| SceneError::NoRouter(name.clone()))
    }

    /// Takes a router out of the set, so that it can be shut down beside other work.
    ///
    /// # Errors
    /// Where it does not run.
    pub fn remove(&mut self, name: &RouterName) -> Result<RouterProcess, SceneError> {
        self.running.remove(name).ok_or_else(|| SceneError::NoRouter(name.clone()))
    }

    /// Returns a running router.
    pub fn get(&self, name: &RouterName) -> Option<&RouterProcess> {
        self.running.get(name)
    }

    /// Returns the running routers.
    pub fn iter(&self) -> impl Iterator<Item = (&RouterName, &RouterProcess)> {
        self.running.iter()
    }

    /// Returns the addresses for callers of the running routers.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.running.values().map(RouterProcess::caller_address).collect()
    }

    /// Shuts all running routers down gracefully.
    ///
    /// # Errors
    /// Where one did not end gracefully.
    pub async fn shut_down_all(&mut self) -> Result<(), SceneError> {
        let running = std::mem::take(&mut self.running);
        let ended = running.into_values().map(RouterProcess::shut_down);
        for result in futures::future::join_all(ended).await {
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
        tokio::time::sleep(READY_PAUSE).await;
    }
    Err(SceneError::NotReady(name.clone()))
}
