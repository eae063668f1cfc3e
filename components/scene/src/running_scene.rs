//! Running scenes.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use budget::{BudgetRow, budget_key};
use bytes::Bytes;
use client::{Caller, Connections, HttpClient, SendError};
use config::{CONFIG_KEY, Config};
use http::{
    HeaderMap, HeaderValue, Method, Response,
    header::{AUTHORIZATION, CONTENT_TYPE},
};
use platform::{Commit, Key, Write};
use serde_json::Value;
use standins::{
    PlatformServer, PlatformState, ServiceServer, ServiceState,
    engine::{EngineServer, EngineState},
};
use types::{AccountName, EndpointName, FailureDomain, ServiceName};

use crate::{RouterSet, SceneError, SceneSpec, Tally, account_key};

/// Timeout of a call to a router.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum number of retries to listen on the address of an engine that was just killed.
const RESTART_RETRIES_MAX: u32 = 50;

/// Pause before each of these retries.
const RESTART_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A running scene. Dropping it kills everything in it.
pub struct Scene {
    spec: SceneSpec,
    /// Server of the platform's services.
    platform: PlatformServer,
    /// Model engines.
    engines: BTreeMap<EndpointName, EngineServer>,
    /// States of the plain services.
    services: BTreeMap<ServiceName, ServiceState>,
    /// Servers of the plain services, by endpoint.
    service_endpoints: BTreeMap<EndpointName, ServiceServer>,
    /// Configuration with which the scene started.
    cfg: Config,
    /// Routers of the scene, which tests start, kill and shut down.
    pub routers: RouterSet,
}

impl Scene {
    /// Starts the stand-ins, stores the configuration and the deposits, and starts the routers.
    ///
    /// # Errors
    /// If a part of the scene does not start.
    pub async fn start(spec: SceneSpec) -> Result<Scene, SceneError> {
        let mut scene = Scene::start_without_routers(spec).await?;
        scene.routers.start_all().await?;
        Ok(scene)
    }

    /// Starts the scene like [`start`](Scene::start), but without its routers.
    ///
    /// # Errors
    /// If a stand-in does not start.
    pub async fn start_without_routers(spec: SceneSpec) -> Result<Scene, SceneError> {
        let state = PlatformState::new(spec.limits.clone(), spec.seed);
        let platform = PlatformServer::start(SocketAddr::from(([127, 0, 0, 1], 0)), state).await?;
        let engines = start_engines(&spec).await?;
        let (services, service_endpoints) = start_services(&spec).await?;
        let engine_addresses = engines.iter().map(|(name, it)| (name.clone(), it.address()));
        let service_addresses =
            service_endpoints.iter().map(|(name, it)| (name.clone(), it.address()));
        let cfg = spec.config(&engine_addresses.chain(service_addresses).collect());
        write_initial_rows(platform.state(), &spec, &cfg);
        let routers = RouterSet::new(spec.clone(), platform.address());
        Ok(Scene { spec, platform, engines, services, service_endpoints, cfg, routers })
    }

    /// Returns the state of the platform's services.
    pub fn platform(&self) -> &PlatformState {
        self.platform.state()
    }

    /// Returns the address of the platform's services.
    pub fn platform_address(&self) -> SocketAddr {
        self.platform.address()
    }

    /// Returns the configuration with which the scene started.
    pub fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns the state of an engine.
    ///
    /// # Panics
    /// If the scene has no such engine.
    pub fn engine(&self, name: &EndpointName) -> &EngineState {
        self.engines[name].state()
    }

    /// Returns the address of an engine.
    ///
    /// # Panics
    /// If the scene has no such engine.
    pub fn engine_address(&self, name: &EndpointName) -> SocketAddr {
        self.engines[name].address()
    }

    /// Kills an engine, whose log is kept.
    ///
    /// # Panics
    /// If the scene has no such engine.
    pub fn kill_engine(&self, name: &EndpointName) {
        self.engines[name].kill();
    }

    /// Restarts an engine on the same address. Kills it first if it still runs.
    ///
    /// # Errors
    /// If its address cannot be bound.
    ///
    /// # Panics
    /// If the scene has no such engine.
    pub async fn restart_engine(&mut self, name: &EndpointName) -> Result<(), SceneError> {
        let old = &self.engines[name];
        old.kill();
        let address = old.address();
        let state = old.state().clone();
        // The address stays in use until the task of the old server has ended.
        let mut restarted = EngineServer::restart(address, &state).await;
        for _ in 0..RESTART_RETRIES_MAX {
            if restarted.is_ok() {
                break;
            }
            tokio::time::sleep(RESTART_RETRY_DELAY).await;
            restarted = EngineServer::restart(address, &state).await;
        }
        self.engines.insert(name.clone(), restarted?);
        Ok(())
    }

    /// Returns the state of a plain service.
    ///
    /// # Panics
    /// If the scene has no such service.
    pub fn service(&self, name: &ServiceName) -> &ServiceState {
        &self.services[name]
    }

    /// Kills an endpoint of a plain service.
    ///
    /// # Panics
    /// If the scene has no such endpoint.
    pub async fn kill_service_endpoint(&self, name: &EndpointName) {
        let endpoint = &self.service_endpoints[name];
        endpoint.kill();
        endpoint.ended().await;
    }

    /// Creates a caller for `account` in `failure_domain` that calls the routers running now.
    pub fn caller(&self, account: &AccountName, failure_domain: &FailureDomain) -> Caller {
        let key = account_key(account.as_str());
        Caller::new(self.routers.caller_addresses(), key, Some(failure_domain.as_str()))
    }

    /// Sends one call of `account` to one router, without retries.
    ///
    /// # Errors
    /// If no complete response arrived.
    pub async fn call(
        &self,
        router: SocketAddr,
        account: &str,
        path: &str,
        id: &str,
        body: &Value,
    ) -> Result<Response<Bytes>, SendError> {
        let value = |text: &str| HeaderValue::from_str(text).expect("visible ASCII");
        let key = account_key(account);
        let mut headers = HeaderMap::new();
        headers.insert(AUTHORIZATION, value(&format!("Bearer {}", key.expose())));
        headers.insert(CONTENT_TYPE, value("application/json"));
        headers.insert("idempotency-key", value(id));
        let body = body.to_string().into();
        let http = HttpClient::new(Connections::Pooled);
        http.call(router, Method::POST, path, headers, body, CALL_TIMEOUT).await
    }

    /// Returns the budget row of a client account, bypassing the table's limits and faults.
    pub fn budget(&self, account: &AccountName) -> Option<BudgetRow> {
        let key = budget_key(account);
        let rows = self.platform().table().inspect(key.as_str());
        rows.iter().find(|row| row.key == key)?.decode().ok()
    }

    /// Returns the totals so far, computed from the endpoints' logs and the table.
    pub fn tally(&self) -> Tally {
        let engines = self.engines.values().map(|engine| engine.state().log());
        let services = self.services.values().map(ServiceState::runs);
        Tally::new(&self.spec, self.platform().table(), engines, services)
    }
}

async fn start_engines(
    spec: &SceneSpec,
) -> Result<BTreeMap<EndpointName, EngineServer>, SceneError> {
    let mut engines = BTreeMap::new();
    for engine in &spec.engines {
        let address = spec.address_of(&engine.failure_domain);
        let models = [(engine.model.clone(), engine.version.clone())];
        let server = EngineServer::start(address, engine.settings.clone(), &models).await?;
        engines.insert(engine.name.clone(), server);
    }
    Ok(engines)
}

type StartedServices = (BTreeMap<ServiceName, ServiceState>, BTreeMap<EndpointName, ServiceServer>);

async fn start_services(spec: &SceneSpec) -> Result<StartedServices, SceneError> {
    let (mut states, mut endpoints) = (BTreeMap::new(), BTreeMap::new());
    for service in &spec.services {
        let state = ServiceState::default();
        for (name, failure_domain) in &service.endpoints {
            let address = spec.address_of(failure_domain);
            let server = ServiceServer::start(address, state.clone()).await?;
            endpoints.insert(name.clone(), server);
        }
        states.insert(service.name.clone(), state);
    }
    Ok((states, endpoints))
}

fn write_initial_rows(platform: &PlatformState, spec: &SceneSpec, cfg: &Config) {
    let mut writes = vec![Write::put(Key::from_parts(&[CONFIG_KEY]), cfg)];
    for account in &spec.accounts {
        let row = BudgetRow { deposited: account.deposit, ..BudgetRow::default() };
        writes.push(Write::put(budget_key(&account.name), &row));
    }
    platform.table().commit_directly(&Commit { writes, ..Commit::default() });
}
